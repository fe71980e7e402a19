# Operator settings with zone recovery enabled; docs/operations.md explains each setting.
leader_life   = "1.4s"
silent_share  = 0.25
idle_s        = 15
headroom      = 0.1
headroom_most = 1.5
surge         = 2
surge_batch   = 1

zone_recovery {
  lost_after     = "8s"
  hold_down      = "5s"
  hold_down_most = "60s"
  flap_window    = "10m"
  first_starts   = 8
  first_fetches  = 4
  # status_listen = "127.0.0.1:7070"
  # trace         = "stderr"
}
