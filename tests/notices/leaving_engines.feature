Feature: Engines that say in their answers that they leave

  Scenario: Requests reach an engine that has said that it leaves
    Given 4 nodes and four engines that hold the same models
    When 12 callers send requests
    And engine "e1" says for 5 seconds that it leaves
    And the callers stop
    Then no request reaches an engine that leaves later than drainMs after its node was told
    And all requests are answered by engines

  Scenario: An engine that leaves is chosen again after the store came back from an old copy
    Given 4 nodes and four engines that hold the same models
    When 12 callers send requests
    And engine "e1" says that it leaves, and the store goes back to a copy 2 times
    And the callers stop
    Then no request reaches an engine that leaves later than drainMs after its node was told
    And all requests are answered by engines

  Scenario: All engines of a service leave at once
    Given 2 nodes and four engines that hold the same models
    When 6 callers send requests
    And all engines say for 4 seconds that they leave
    And the callers stop
    Then no request reaches an engine that leaves later than drainMs after its node was told
    And requests are answered until the drain time, and refused at once after it

  Scenario: An engine that has left is born again with its name
    Given 2 nodes and four engines that hold the same models
    When 6 callers send requests
    And engine "e1" says for 1 seconds that it leaves
    And engine "e1" ends and is born again with its name
    And the callers stop
    Then engine "e1" gets requests again

  Scenario: One node is told that an engine leaves, and the others learn it from that node
    Given 4 nodes and four engines that hold the same models
    When callers at node "n1" alone have engine "e1" say that it leaves
    Then no request through the other nodes reaches engine "e1"
