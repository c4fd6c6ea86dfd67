Feature: Each request is answered, whatever its method, and leaves its connection free or closed

  # Guards against connections that stay busy for good after an answer to HEAD (review/9).
  Scenario: Every kind of answer is written to every method
    Given requests of each method, in HTTP/1.1 and 1.0
    Then each gets each answer of the system's own and of upstreams, complete and without bytes after it
    And the next request on the connection is answered, or the connection is closed

  # Guards against an exchange whose handling ends in an error, and leaves its connection busy.
  Scenario: The handling of a request ends without an answer
    Given a request whose handling ends without an answer, or in an answer that HTTP cannot carry
    Then its connection is closed, unless the next request runs there already

  # Guards against the same in a node process: its own answers, its pages and those of upstreams.
  Scenario: Callers of a node ask with every method
    Given the node deployment
    Then HEAD is answered like GET but for the body: by an upstream, for an unknown route, for a model that no engine has, and by the pages
    And CONNECT is rejected at once as not run
    And a second request on each of these connections is answered
