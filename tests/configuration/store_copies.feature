Feature: The store comes back from a copy some seconds old

  Scenario Outline: New routes are refused after the store came back from a copy
    Given 3 nodes that know 3 configurations and <writes> other writes more than a copy of the store
    When the store comes back from the copy after <away> seconds, <times> times
    And the operator writes its newest configuration again, and then one with a route more
    Then all nodes serve the added route within 2 seconds
    And no node goes back to an older configuration

    Examples: other writes, seconds away, returns
      | writes | away | times |
      | 30     | 0.3  | 1     |
      | 3000   | 0.3  | 1     |
      | 30     | 3.0  | 1     |
      | 300    | 0.3  | 2     |

  Scenario: A node that has just started refuses new routes after the store came back from a copy
    Given 3 nodes that know 3 configurations and 30 other writes more than a copy of the store
    When node "n3" starts again, reads a new configuration, and the store comes back from the copy
    And the operator writes its newest configuration again, and then one with a route more
    Then all nodes serve the added route within 2 seconds

  Scenario: A node sleeps while the store comes back from a copy and its revisions pass the known one
    Given 3 nodes that know 3 configurations and 30 other writes more than a copy of the store
    When node "n2" is suspended until the store has come back from the copy twice and taken 300 writes
    And the operator writes its newest configuration again, and then one with a route more
    Then all nodes serve the added route within 2 seconds
    And no node goes back to an older configuration

  Scenario: Views agree with a store that came back from copies, and never go back
    Given a store that goes away and comes back from copies at random
    Then after 60 random runs each of 4 views agrees with the store and never went back

  Scenario: Order holders are elected by a store that gives out revisions and leases again
    Given a store that goes away and comes back from copies at random
    Then in 60 random runs of 3 VMs at most one sends orders at a time, fencing tokens only rise, no replaced VM orders again within the re-election delay, and one orders in the end

  Scenario: A view whose calls get no answer learns a new configuration from its peers' versions
    Given a store that goes away and comes back from copies at random
    When a VM's view gets no answer any more, and a peer has a newer configuration
    Then the VM has it within 2 seconds, and reads nothing more once it is not behind
