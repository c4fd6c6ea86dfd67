Feature: A VM that may send orders has proved that no other one may

  # Guards against two order holders: one VM that alone reaches the store is elected while the former
  # holder, which reports a store that is silent to a majority, keeps the right to send orders.
  Scenario Outline: The store turns all VMs away but one, which starts
    Given <vms> nodes with links of their own to the store, of which one may send orders
    When the store is silent to all but another one, which is killed and starts <seconds> s later
    Then at no time two nodes may send orders
    And one node may send orders in the end

    Examples:
      | vms | seconds |
      | 3   | 0.2     |
      | 4   | 1.5     |

  # Guards against a right that is renewed with the lease after the holder key was removed.
  Scenario Outline: The holder key is removed while its lease lives, and the holder hears nothing of it
    Given <vms> simulated VMs, of which one may send orders
    When the holder key is removed, the holder's reads and watches get no answer for <seconds> s, and the others <reach> it
    Then in these seconds at most one VM at a time sends orders
    And one of them may send orders in the end

    Examples:
      | vms | seconds | reach        |
      | 3   | 1.5     | reach        |
      | 3   | 9.0     | reach        |
      | 3   | 9.0     | do not reach |
      | 7   | 9.0     | do not reach |

  # Guards against a right without end: no report tells the holder of the VM that is elected.
  Scenario Outline: The store serves only a VM that no other one hears
    Given <vms> simulated VMs, of which one may send orders
    When the store is silent for 14 s to all but one that is cut off from the others
    Then in these seconds at most one VM at a time sends orders
    And one of them may send orders in the end

    Examples:
      | vms |
      | 3   |
      | 7   |

  # Guards against lists of former holders that forget one, and against any order of these faults.
  Scenario Outline: VMs restart, are cut off and lose their keys in any order
    Then in 40 random runs of <vms> VMs whose store is silent to most, at most one VM at a time sends orders

    Examples:
      | vms |
      | 3   |
      | 7   |

  # Guards against a missing list of holders that is taken as a proof that there was none.
  Scenario: The store has no list of order holders
    Then a VM of a system that starts for the first time need not wait for one
    And a VM that starts otherwise waits for an unknown one
    And it waits for none once the list is complete in the store's era

  # A crash must not cost more than the lease, the election and the wait for orders under way.
  Scenario: The order holder's process ends
    Given 4 simulated VMs, of which one may send orders
    When the holder's process ends
    Then another VM may send orders within 4.0 s
