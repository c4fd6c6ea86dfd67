Feature: Requests are answered correctly, refused in time and retried within a limit

  Scenario: An answer says "not run" only if no attempt may have run
    Given every outcome of an attempt at an upstream
    Then a request that may have run is retried only if it is repeatable
    And only outcomes of attempts that certainly did not run count as "not run"

  Scenario: A stopping VM refuses a request that may run long
    Given a VM that was told to stop with a grace period of 8 seconds
    Then a stream that arrives after 4.3 seconds is refused at once
    And a stream that arrives after 1 second is accepted
    And a request that arrives after 4.3 seconds is accepted only if its deadline lies before the end of serving

  Scenario: Retries stay within the shared limit
    Given 8 VMs that may together retry 0.2 of their requests and 56 more in any 10 seconds
    When every request fails for 60 seconds at 40 requests per second on each VM
    Then no window of 10 seconds holds more retries than the limit
    When all VMs restart at once and every request still fails
    Then no window of 10 seconds holds more retries than the limit

  # Guards against memory that grows with each request while none is sent again.
  Scenario: Requests are forgotten when they are older than the window of retries
    Given a window of 10 seconds for retries, in which none is sent
    When 50 requests arrive each second for 60 seconds
    Then no more than 501 of them are remembered

  Scenario: A request for a model that no engine loads is refused soon
    Then a request whose caller waits 1.5 seconds is refused if no load is ordered within 0.35 seconds
    And a request whose caller waits 10 seconds is refused if no load is ordered within 2 seconds
    And a request whose model loads in time waits for it
    And a request whose model loads too late is refused at once with a time to retry

  Scenario: Only complete events are forwarded, however packets divide the stream
    Given event streams divided at arbitrary places
    Then what is forwarded always ends with a complete event and adds up to the stream
