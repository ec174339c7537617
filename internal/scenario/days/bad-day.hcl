about  = "An endpoint hangs, one goes silent, one drains under load, a zone is cut off, streams break, a pilot dies."
like   = "quiet"
length = "60s"
seed   = 3

trouble "hang" {
  at  = "6s"
  for = "8s"
  who = ["a-std-0"]
}
trouble "vanish" {
  at  = "10s"
  for = "9s"
  who = ["b-std-1"]
}
trouble "drain" {
  at  = "20s"
  for = "4s"
  who = ["c-std-2"]
}
trouble "zone_cut" {
  at   = "27s"
  for  = "6s"
  zone = "c"
}
trouble "reconnect" {
  at   = "38s"
  part = 0.5
}
trouble "pilot_kill" {
  at  = "42s"
  for = "6s"
  who = ["pilot-1"]
}
trouble "drain" {
  at  = "44s"
  for = "4s"
  who = ["a-std-3"]
}
