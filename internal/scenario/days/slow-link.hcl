about  = "The ways of one zone are slow and lossy; a zone takes more of the traffic for good."
like   = "quiet"
length = "40s"
seed   = 3

trouble "slow_link" {
  at    = "6s"
  for   = "18s"
  zone  = "c"
  extra = "120ms"
  loss  = 0.1
}
trouble "drain" {
  at  = "10s"
  for = "4s"
  who = ["b-std-0"]
}
trouble "shift" {
  at   = "26s"
  zone = "a"
  part = 0.3
}
