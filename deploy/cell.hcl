# Operator settings of one cell among several; docs/operations.md explains each setting. Every other cell has
# its own file, with its own name and with the remaining cells as peers.
leader_life   = "1.4s"
silent_share  = 0.25
idle_s        = 15
headroom      = 0.1
headroom_most = 1.5
surge         = 2
surge_batch   = 1

cell {
  name         = "gent"
  listen       = "127.0.0.1:7081"
  spill_after  = "20s"
  return_after = "30s"
  lend_cores   = 200

  peer "joburg" {
    addresses = ["127.0.0.1:7181", "127.0.0.1:7182", "127.0.0.1:7183"]
  }
  peer "brussel" {
    addresses = ["127.0.0.1:7281"]
  }
}
