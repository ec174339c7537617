about  = "One caller takes a quarter of the traffic, some reqs are far heavier, traffic moves to one zone."
like   = "quiet"
length = "45s"
seed   = 3

trouble "hot_caller" {
  at   = "5s"
  for  = "10s"
  part = 0.25
}
trouble "heavy_tail" {
  at   = "18s"
  for  = "10s"
  kind = "read"
  part = 0.02
  size = 12
}
trouble "shift" {
  at   = "31s"
  zone = "b"
  part = 0.35
}
