about  = "The largest grown deployment's fleet: 300 proxies, 90 endpoints, 900 reqs a second, reports tenfold for 10 s."
like   = "quiet"
length = "40s"
seed   = 5

fleet {
  pilots  = ["a", "b", "c"]
  proxies = ["a", "b", "c"]
  times   = 100
}
channel {
  lines_per_s = 4200
  backlog     = 14000
}
clients {
  rate    = 900
  retries = 1
}
intake {
  lines_per_s = 4000
  standing    = 2000
}

endpoints "std" {
  zone   = "a"
  count  = 30
  spread = 0.1
}
endpoints "std" {
  zone   = "b"
  count  = 30
  spread = 0.1
}
endpoints "std" {
  zone   = "c"
  count  = 30
  spread = 0.1
}

trouble "report_burst" {
  at   = "15s"
  for  = "10s"
  size = 10
}
trouble "hang" {
  at    = "17s"
  for   = "8s"
  who   = ["b-std-1*"]
  count = 3
}
trouble "preempt" {
  at    = "19s"
  for   = "4s"
  extra = "1s"
  part  = 0.2
}
