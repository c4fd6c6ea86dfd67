Feature: Requests and answers are framed correctly

  Scenario: Requests are parsed correctly however their bytes are split into packets
    Given requests of any size, framed by Content-Length or in chunks, sent one after the other
    Then each is received once, in order, with its own body

  Scenario: A body that contains a request is not parsed as a request
    Given a request whose body is another request
    Then one request is received, with that body

  Scenario: A request with two framings is rejected
    Given a request with both Content-Length and chunked framing
    Then it is answered with 400 and the connection closes

  Scenario: An answer counts as complete only if all of it arrived
    Given answers by length, in chunks and up to the close of the connection, cut at any byte
    Then a cut answer is incomplete, unless it has no length and the connection closed cleanly
    And an answer that is not cut is complete

  Scenario: Bytes after a complete answer end the connection
    Given an upstream connection whose answer is complete
    When more bytes arrive
    Then the connection is aborted and not reused

  Scenario: A connection that was idle for too long is not reused
    Given a pool with a connection whose upstream keeps it open for 2 seconds
    Then it is reused after 1 second
    And it is not reused after 1.5 seconds
