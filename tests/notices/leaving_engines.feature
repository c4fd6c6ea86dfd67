Feature: Engines that say in their answers that they leave

  Scenario: Requests reach an engine that has said that it leaves
    Given 4 nodes and four engines that hold the same models
    When 12 callers send requests
    And engine "e1" says for 5 seconds that it leaves
    And the callers stop
    Then no request reaches an engine that leaves later than drainMs after its node was told
    And all requests are answered by engines
