Feature: Requests and answers are delimited correctly

  Scenario: Requests are parsed correctly however their bytes are split into packets
    Given requests of any size with a Content-Length or in chunks, sent one after the other
    Then each is received once, in order, with its own body

  Scenario: A body that contains a request is not parsed as a request
    Given a request whose body is another request
    Then one request is received, with that body

  # Guards against answers within answers, which reached the interpreter's recursion limit.
  Scenario: Many requests arrive at once, and each is answered at once
    Given a caller that sends 2000 requests in one packet
    Then each of them is answered

  Scenario: A request that states its length in two ways is rejected
    Given a request with both a Content-Length and chunks
    Then it is answered with 400 and the connection closes

  Scenario: An answer counts as complete only if all of it arrived
    Given answers with a length, in chunks or ended by the close of the connection, cut off anywhere
    Then a cut-off answer is incomplete, unless its head arrived and a clean close marks its end
    And an answer that is not cut off is complete

  # Guards against an odd status that reaches a caller as an answer.
  Scenario: An answer whose status is none is rejected
    Given answers with each status from 000 to 999, and with some that are no number of three digits
    Then only those from 200 to 599 are received, and the others end the exchange as malformed

  Scenario: Bytes after a complete answer end the connection
    Given an upstream connection whose answer is complete
    When more bytes arrive
    Then the connection is aborted and not reused

  Scenario: A connection that was idle for too long is not reused
    Given a pool with a connection whose upstream announces a keep-alive timeout of 2 seconds
    Then it is reused after 1 second
    And it is not reused after 1.5 seconds, because of the margin of 0.7 s

  # Guards against a connection that goes back to the pool while the answer on it is still due.
  Scenario: A connection whose exchange did not end with its answer is not used again
    Given each way in which an exchange may end without its answer
    Then the connection is not usable when the one who waits for the answer goes on
    And a call that follows one without an answer is sent on another connection

  Scenario: An upstream sends bytes that are no answer, without end
    Given upstreams that send bytes that are no answer until the connection is closed
    Then each connection is aborted after at most 40 MB, and nothing of them is kept

  Scenario: A late second answer arrives where the answer to an order or a report is due
    Given an engine that answers an order twice, the second time on the order's connection
    Then the next order is not taken as accepted, and the next report is not read from it

  Scenario: An upstream that is silent for a second keeps its connections
    Given the socket of a connection to an upstream
    Then bytes without an acknowledgement break it off after 1.5 to 3 seconds
    And unanswered keep-alive probes break it off after 1.5 to 3 seconds, whatever their count
