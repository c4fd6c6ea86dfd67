Feature: Accepted settings are in force everywhere within seconds and never revert

  Scenario: Nodes, operators and a store that fail in any order
    Given three nodes, two teams and operators who write through the API and directly
    Then no history makes a node go back, adopt a mistake, or end with other settings than the rest

  Scenario: Two operators change the same team from the same version
    Given three nodes, two teams and operators who write through the API and directly
    When operators at nodes 0 and 1 write team "a" from the same version
    Then exactly one of them succeeds and the other learns of the change

  Scenario: The answer to a write is lost after it took effect
    Given three nodes, two teams and operators who write through the API and directly
    When the store loses the answer to a write of team "a" at node 0
    Then the operator is told that it succeeded
    And every node has it in force within 11 seconds

  Scenario: A mistake by one team leaves the others alone
    Given three nodes, two teams and operators who write through the API and directly
    When team "a" writes a mistake directly and team "b" writes a change
    Then team "a" keeps its last accepted settings and the mistake is reported at every node
    And every node has it in force within 11 seconds

  Scenario: A watch silently ends
    Given three nodes, two teams and operators who write through the API and directly
    And the watches of every node are mute
    When team "b" writes a change directly
    Then every node has it in force within 11 seconds

  Scenario: The store is restored to something older
    Given three nodes, two teams and operators who write through the API and directly
    And the store is saved
    When team "b" writes a change directly
    And the store is restored to what was saved
    Then after 20 seconds every node and the store still have the change

  Scenario: A node starts while the store is down
    Given three nodes, two teams and operators who write through the API and directly
    When team "b" writes a change directly
    And every node is cut off from the store and node 2 starts anew
    Then node 2 has from its peers what they have in force
