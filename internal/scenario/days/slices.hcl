about  = "Keys in slices: the store moves them from endpoints that drain, while streams break and the pilot is killed."
like   = "quiet"
length = "16s"

fleet {
  pilots = ["a"]
  grpc   = ["proxy-*-1"]
}
proxies {
  slices = 24
}

trouble "slice_move" {
  at  = "3s"
  who = ["a-std-0", "b-std-1"]
}
trouble "drain" {
  at  = "4s"
  for = "4s"
  who = ["a-std-0", "b-std-1"]
}
trouble "reconnect" {
  at = "7s"
}
trouble "pilot_kill" {
  at  = "9s"
  for = "2s"
  who = ["pilot-0"]
}
trouble "slice_move" {
  at  = "12s"
  who = ["c-std-2"]
}
