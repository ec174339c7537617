about  = "A quiet day: nothing happens."
length = "20s"
seed   = 3

zones    = ["a", "b", "c"]
machines = ["std"]

req_kind "read" {
  response_target = "400ms"
  client_timeout  = "1500ms"
  payoff          = 1
  late_payoff     = 0.1
}
req_kind "book" {
  response_target = "600ms"
  client_timeout  = "2s"
  payoff          = 5
  late_payoff     = 0.2
  repeats         = "non-replayable"
  writes          = true
}

demand "read" {
  share = 3
  work  = "30ms"
}
demand "book" {
  share = 1
  work  = "40ms"
}

fleet {
  pilots  = ["a", "b"]
  proxies = ["a", "a", "b", "b", "c", "c"]
}
clients {
  rate    = 200
  retries = 1
}

endpoints "std" {
  zone   = "a"
  count  = 4
  spread = 0.1
}
endpoints "std" {
  zone   = "b"
  count  = 4
  spread = 0.1
}
endpoints "std" {
  zone   = "c"
  count  = 4
  spread = 0.1
}
