Feature: What runs as long as the process survives an unexpected error

  # Guards against an error that ends a coroutine for good, so that all who wait for it wait for ever.
  Scenario: A read that several wait for fails
    Given a shared read that fails once with an unexpected error
    Then those who wait for it get nothing, and the next ones get its result

  Scenario: The write of a record of streams fails
    Given a VM whose next call to the store fails with an unexpected error, and which begins a stream
    Then the stream's record is written after that, and its event is passed on

  Scenario: The view of the store fails
    Given a VM's view of the store, whose next call fails with an unexpected error
    When the operator writes a new configuration
    Then the VM has it within the bound

  Scenario: The renewal of a lease fails
    Given a VM that may send orders, whose next call to the store fails with an unexpected error
    Then it may send orders again within 10 s

  Scenario: An order and a report of an engine fail
    Given an order holder whose calls to engines fail with an unexpected error
    When an adapter is asked for, and its calls succeed again
    Then no engine waits for the end of a failed call
