about  = "The bad day in short, for tests."
like   = "quiet"
length = "15s"
seed   = 3

list {
  late = "300ms"
}
rules {
  cold        = "4s"
  drain_grace = "2s"
}
trouble "hang" {
  at  = "1500ms"
  for = "4s"
  who = ["a-std-0"]
}
trouble "vanish" {
  at  = "2s"
  for = "3s"
  who = ["b-std-1"]
}
trouble "drain" {
  at  = "3s"
  for = "3s"
  who = ["c-std-2"]
}
trouble "zone_cut" {
  at   = "5s"
  for  = "2500ms"
  zone = "c"
}
trouble "reconnect" {
  at   = "9s"
  part = 0.5
}
trouble "pilot_kill" {
  at  = "10s"
  for = "2s"
  who = ["pilot-1"]
}
trouble "drain" {
  at  = "10500ms"
  for = "3s"
  who = ["a-std-3"]
}
