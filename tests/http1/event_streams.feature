Feature: Streams are split into their events

  # Guards against a cost that grows with the square of an event's length in pieces (review/6).
  Scenario: An event of the largest size arrives in parts of 8 bytes
    Given the first event of a stream, of 1048576 bytes
    When it arrives in parts of 8 bytes
    Then it takes less than 5 s of the processor, and is complete with its last part

  # Guards against events that are joined or split otherwise when they arrive in other parts.
  Scenario: Events are the same however their bytes are split into parts
    Given streams of events with line ends of both kinds
    Then the same events are complete in whatever parts the bytes arrive
