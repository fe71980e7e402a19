# Operator settings with load spreading enabled; docs/operations.md explains each setting.
leader_life   = "1.4s"
silent_share  = 0.25
idle_s        = 15
headroom      = 0.1
headroom_most = 1.5
surge         = 2
surge_batch   = 1

load_spreading {
  high             = 1.15
  least_share      = 0.4
  least_gain       = 0.05
  cost_share       = 0.05
  settled          = "60s"
  stay             = "10m"
  hold             = "30s"
  moves_per_minute = 100
  moves_in_flight  = 20
  keep_idle        = false
  # status_listen  = "127.0.0.1:7072"
  # trace          = "stderr"
}
