Feature: A node that is told to stop answers what it takes until its end

  Scenario Outline: Callers go on on open connections until a stopping node is gone, work takes <work> s
    Given 2 nodes, and a plain instance whose work takes <work> s
    When 16 callers with deadlines of <deadlines> ms use node "n1" until it has stopped
    Then each request that the stopping node took is answered
    And no connection is closed on a request before the last 0.5 s of the node
    And no request that the node refused has run, and none that may run once ran twice

    Examples:
      | work | deadlines                     |
      | 0.02 | 200 and 1000 and 5000         |
      | 0.7  | 600 and 900 and 2500 and 5000 |
      | 1.6  | 1000 and 1700 and 3000        |
      | 2.6  | 2000 and 2700 and 6000        |
      | 8.0  | 400 and 1500 and 3000         |

  Scenario: Requests that cannot end before the node does are answered at its end
    Given 2 nodes, and a plain instance whose work takes 8 s
    When 16 callers with deadlines of 15000 ms use node "n1" until it has stopped
    Then the last answers say that the requests may have run
    And no request that the node refused has run, and none that may run once ran twice
