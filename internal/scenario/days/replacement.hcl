about  = "All endpoints are replaced one after another, a new one before each that goes."
like   = "quiet"
length = "60s"
seed   = 3

trouble "replace" {
  at    = "5s"
  every = "3500ms"
  extra = "2500ms"
  who   = ["*-std-?"]
}
