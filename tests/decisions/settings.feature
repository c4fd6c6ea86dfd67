Feature: Accepted settings are in force everywhere within seconds and never revert

  Scenario: Settings stay valid and never revert in any sequence of writes and faults
    Given three nodes, two teams and operators who write through the API and directly to the store
    Then no sequence makes a node revert, adopt invalid settings, or differ from the rest in the end

  Scenario: Two operators change the same team from the same version
    Given three nodes, two teams and operators who write through the API and directly to the store
    When operators at nodes 0 and 1 write team "a" from the same version
    Then exactly one of them succeeds and the other is told of the change

  Scenario: The answer to a write is lost after it took effect
    Given three nodes, two teams and operators who write through the API and directly to the store
    When the store loses the answer to a write of team "a" at node 0
    Then the operator is told that it succeeded
    And every node has the change in force within 11 seconds

  Scenario: Invalid settings of one team do not affect other teams
    Given three nodes, two teams and operators who write through the API and directly to the store
    When team "a" writes invalid settings directly and team "b" writes a change
    Then team "a" keeps its last accepted settings and the error is reported at every node
    And every node has the change in force within 11 seconds

  Scenario: A watch stops delivering changes without an error
    Given three nodes, two teams and operators who write through the API and directly to the store
    And the watches of every node deliver nothing
    When team "b" writes a change directly
    Then every node has the change in force within 11 seconds

  Scenario: The store is restored to an older state
    Given three nodes, two teams and operators who write through the API and directly to the store
    And the store is saved
    When team "b" writes a change directly
    And the store is restored to what was saved
    Then after 20 seconds every node and the store still have the change

  Scenario: A node starts while the store is down
    Given three nodes, two teams and operators who write through the API and directly to the store
    When team "b" writes a change directly
    And every node is cut off from the store and node 2 restarts
    Then node 2 has the settings of its peers in force
