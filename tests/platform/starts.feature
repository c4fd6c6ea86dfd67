Feature: A node that starts while ports are in use, or starts or ends while signals come

  Scenario: A port stays in use
    Given a node whose port for callers is in use
    Then its process ends with status 3 within 8 seconds, and its log names the port

  Scenario: A port is in use until the process before ends
    Given a node whose port for callers is in use for 2 seconds
    Then it becomes ready

  Scenario: Signals come while a node imports its modules
    Given nodes that get SIGHUP and then SIGTERM 0 to 0.8 seconds after their first line
    Then none ends with an error

  Scenario: Signals come until a node has ended
    Given a node that gets SIGTERM and SIGHUP each 3 milliseconds until it has ended
    Then none ends with an error
