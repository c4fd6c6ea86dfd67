Feature: Engines that are born again with their names, and what they say before it is known

  Scenario: Requests reach an engine in a pause that it asked for before its new start was known
    Given 2 nodes and four engines that hold the same models
    When 24 callers send requests
    And engine "e1" is born again while the store is away, and asks for 6 s of rest
    And the callers stop
    Then at most 2 requests of a node reach the engine in a pause
    And all requests are answered by engines, or fail while the engine is away

  Scenario: Requests reach an engine whose clock is ahead and that left before its new start was known
    Given 2 nodes and four engines that hold the same models
    When 6 callers send requests
    And engine "e1", whose clock is 10 s ahead, is born again while the store is away, and leaves
    And the callers stop
    Then no request reaches an engine that leaves later than drainMs after its node was told
    And all requests are answered by engines, or fail while the engine is away

  Scenario Outline: An engine leaves, and then an entry shows <shown>
    Given an engine of which a VM has heard that it leaves
    When its entry shows <shown>
    Then no request is sent to it

    Examples:
      | shown                                    |
      | an earlier start, from a copy            |
      | a later start by a clock that is ahead   |
      | a later start by a clock that is behind  |

  # Guards against a drain time that begins anew when the same process says again that it leaves, after
  # its entry went back to an earlier start (DRAIN; soak seed 879).
  Scenario: An engine that leaves says so again while its entry shows an earlier start
    Given an engine of which a VM has heard that it leaves
    When its entry shows an earlier start, from a copy
    And 1.5 seconds later it says again that it leaves
    Then a request that arrives now is not sent to it
    When its entry shows its start again
    Then a request that arrives now is not sent to it

  # Guards against a drain time that is over before it began, as an earlier process of that name left.
  Scenario: An engine that is born again, and was shown to stay, leaves as well
    Given an engine of which a VM has heard that it leaves
    When its entry shows a later start by a clock that is ahead
    And 1.5 seconds later it says that it does not leave
    And 1.5 seconds later it says again that it leaves
    Then a request that arrives now is sent to it if no other can take it

  Scenario Outline: An engine asks for a pause, and then an entry shows <shown>
    Given an engine which has asked a VM for a pause
    When its entry shows <shown>
    Then no request is sent to it

    Examples:
      | shown                                    |
      | an earlier start, from a copy            |
      | a later start by a clock that is ahead   |
      | a later start by a clock that is behind  |
