about  = "Pilots are replaced by new processes again and again under steady traffic, while an endpoint drains and one hangs."
like   = "quiet"
length = "45s"
seed   = 3

fleet {
  record = true
}
trouble "handover" {
  at    = "3s"
  for   = "38s"
  every = "700ms"
}
trouble "drain" {
  at  = "10s"
  for = "4s"
  who = ["a-std-1"]
}
trouble "restart" {
  at  = "25s"
  who = ["b-std-1"]
}
