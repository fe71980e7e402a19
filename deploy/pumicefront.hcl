# Operator settings; docs/operations.md explains each setting.
leader_life   = "1.4s"
silent_share  = 0.25
idle_s        = 15
headroom      = 0.1
headroom_most = 1.5
surge         = 2
surge_batch   = 1
