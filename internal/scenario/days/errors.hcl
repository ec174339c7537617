about  = "Some endpoints fail fast, some fail one req kind only, some restart faster than the list tells."
like   = "quiet"
length = "45s"
seed   = 3

trouble "fast_errors" {
  at   = "5s"
  for  = "10s"
  who  = ["a-std-1", "b-std-1"]
  size = 0.8
}
trouble "class_fail" {
  at   = "19s"
  for  = "8s"
  kind = "book"
  size = 0.7
  part = 0.25
}
trouble "restart" {
  at  = "30s"
  who = ["c-std-1"]
}
trouble "crash" {
  at  = "31s"
  for = "5s"
  who = ["a-std-2"]
}
