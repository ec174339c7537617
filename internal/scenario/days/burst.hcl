about  = "A push of reqs on a fleet that is nearly full, then one beyond what it can do."
like   = "quiet"
length = "40s"
seed   = 3

clients {
  rate    = 420
  retries = 1
}
trouble "burst" {
  at   = "8s"
  for  = "5s"
  size = 1.5
}
trouble "burst" {
  at   = "24s"
  for  = "4s"
  size = 2.2
}
