Feature: What a peer sends waits with the peer while this process cannot pass it on

  # Guards against a stream that fills the node's memory because its caller reads slowly.
  Scenario: A caller reads a stream more slowly than its upstream sends it
    Given a stream that is forwarded from an upstream to a caller
    Then nothing is read from the upstream while the caller's connection has enough to write
    And the upstream's connection is read again once the answer is complete

  # Guards against a stream that fills the memory while its first event waits for a record.
  Scenario: An upstream sends many events while they are held back
    Given a stream that is forwarded from an upstream to a caller
    Then nothing is read from the upstream while more than 64 KB of its events are held back
    And all events are forwarded in order once they are released

  # Guards against a caller that fills the memory with requests during a long answer.
  Scenario: A caller sends many requests before the first one is answered
    Given a caller that sends 4000 requests at once, and an answer that takes long
    Then no more is read from the caller while it waits for the answer
    And all its requests are answered in the end
