about  = "The list source dies for a while; endpoints go and come meanwhile."
like   = "quiet"
length = "45s"
seed   = 3

trouble "list_down" {
  at  = "6s"
  for = "12s"
}
trouble "crash" {
  at  = "8s"
  for = "6s"
  who = ["b-std-3"]
}
trouble "drain" {
  at  = "9s"
  for = "14s"
  who = ["c-std-3"]
}
trouble "restart" {
  at  = "30s"
  who = ["a-std-3"]
}
