Feature: What callers are told of a request is true

  Scenario: "Not run" is said only when nothing may have run
    Given every history of attempts at upstreams
    Then a request is sent again after it may have run only if it may be repeated
    And only attempts that certainly did not run leave "not run" true

  Scenario: A request that may run long is refused by a stopping VM
    Given a VM that was told to stop with 8 seconds of grace
    Then a stream that comes after 4.3 seconds is refused at once
    And a stream that comes after 1 second is taken
    And a request that ends in time is taken after 4.3 seconds

  Scenario: Repeats stay within the shared budget
    Given 8 VMs that share 56 spare repeats and a ratio of 0.2 in 10 seconds
    When every request fails for 60 seconds at 40 requests a second on each
    Then no window of 10 seconds holds more repeats than the budget
    When all VMs restart at once and every request goes on failing
    Then no window of 10 seconds holds more repeats than the budget

  Scenario: A request for a model that nobody loads is refused soon
    Then a request whose caller waits 1.5 seconds is refused after 0.35 seconds without an order
    And a request whose caller waits 10 seconds is refused after 2 seconds without an order
    And one whose model comes in time waits for it
    And one whose model comes too late is refused at once with the time to come back

  Scenario: Events are handed on whole, whatever the cuts between packets
    Given streams of events cut at any places
    Then what is handed on always ends with a whole event and joins to the stream
