Feature: A request crashes each upstream that begins to run it

  Scenario Outline: One request crashes upstream after upstream
    Given 4 nodes and 4 instances of a plain service, and 4 engines that hold one model
    When 40 sound requests come each second for 16 seconds, and each 0.7 s one <request> that is deadly
    Then at most 3 sends of it reach upstreams later than 3 seconds after it has crashed the third
    And from 6 seconds after its third crash sound requests are served half as often as before or more
    And callers of it are never told that it did not run when it did

    Examples:
      | request                   |
      | GET that may be repeated  |
      | POST that may run once    |
      | POST sent in large chunks |
      | stream with a prompt      |
