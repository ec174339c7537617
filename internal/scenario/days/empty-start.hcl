about  = "The list is empty at the start; then all endpoints at once."
like   = "quiet"
length = "30s"
seed   = 3

list {
  empty = true
}
trouble "list_all" {
  at = "5s"
}
trouble "pilot_kill" {
  at  = "14s"
  for = "2s"
  who = ["pilot-0"]
}
