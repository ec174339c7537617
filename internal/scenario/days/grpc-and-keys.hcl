about  = "Half of the proxies over gRPC, half framed, all under TLS, through the bad day's troubles in short."
like   = "bad-day-short"
length = "20s"

fleet {
  grpc = ["proxy-*-1"]
  keys = true
}

trouble "hang" {
  at  = "2s"
  for = "4s"
  who = ["a-std-0"]
}
trouble "drain" {
  at  = "4s"
  for = "3s"
  who = ["c-std-2"]
}
trouble "reconnect" {
  at = "7s"
}
trouble "zone_cut" {
  at   = "8s"
  for  = "2500ms"
  zone = "c"
}
trouble "mute_proxy" {
  at    = "12s"
  for   = "3s"
  who   = ["proxy-*-1"]
  count = 1
}
trouble "drain" {
  at  = "12500ms"
  for = "4s"
  who = ["b-std-1"]
}
trouble "pilot_kill" {
  at  = "15s"
  for = "2s"
  who = ["pilot-0"]
}
