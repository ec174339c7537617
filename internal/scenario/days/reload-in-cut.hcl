about  = "A zone is cut off, and meanwhile the pilots are told other terms; an endpoint drains in it."
like   = "quiet"
length = "35s"
seed   = 3

trouble "zone_cut" {
  at   = "8s"
  for  = "8s"
  zone = "c"
}
trouble "reload" {
  at   = "10s"
  size = 0.8
}
trouble "drain" {
  at  = "11s"
  for = "4s"
  who = ["c-std-0"]
}
trouble "reload" {
  at   = "22s"
  size = 1.2
}
