about  = "A hundred endpoints appear at once on an empty list."
like   = "quiet"
length = "25s"
seed   = 3

list {
  empty = true
}
endpoints "std" {
  zone   = "a"
  count  = 34
  cores  = 1
  spread = 0.1
}
endpoints "std" {
  zone   = "b"
  count  = 33
  cores  = 1
  spread = 0.1
}
endpoints "std" {
  zone   = "c"
  count  = 33
  cores  = 1
  spread = 0.1
}
trouble "list_all" {
  at = "4s"
}
