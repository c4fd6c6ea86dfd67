Feature: Requests and answers keep their frames

  Scenario: Requests arrive as they were sent, whatever the cuts between packets
    Given requests of any size, framed by length or in chunks, sent one after the other
    Then each arrives once, in order, with its own body

  Scenario: A body that looks like a request stays a body
    Given a request whose body is another request
    Then one request arrives, with that body

  Scenario: Two framings at once are refused
    Given a request with a length and in chunks
    Then it gets 400 and the connection closes

  Scenario: An answer counts as whole only if it is
    Given answers by length, in chunks and up to the end of the connection, cut at any place
    Then a cut answer never ends whole, unless the upstream closed an answer without length in order
    And a whole answer ends whole

  Scenario: Bytes after a complete answer end the connection
    Given an upstream connection whose answer is complete
    When more bytes come
    Then the connection is dropped and not used again

  Scenario: A connection that stayed idle too long is not used again
    Given a pool with a connection whose upstream keeps it for 2 seconds
    Then it is used again after 1 second
    And it is not used again after 1.5 seconds
