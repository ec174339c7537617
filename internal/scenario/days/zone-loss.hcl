about  = "A zone is lost with its proxies and its pilot, and comes back cold."
like   = "quiet"
length = "45s"
seed   = 3

trouble "zone_loss" {
  at   = "8s"
  for  = "9s"
  zone = "b"
  size = 0.9
}
trouble "zone_loss" {
  at   = "30s"
  for  = "5s"
  zone = "a"
  size = 0.2
}
