Feature: Requests while entries and upstreams fail
  Callers get answers from what is left, and a request that must not be repeated
  runs at most once.

  Scenario: The broker of a pool is killed
    Given 2 entries of zone north share 2 upstreams of pool desk
    When the broker of pool desk is killed
    Then the other entry answers 5 requests in a row within 5 s

  Scenario: An entry stops while it holds a running request
    Given 2 entries of zone north share 2 upstreams of pool desk
    When a caller sends a marked request that runs 600 ms to the broker
    And the broker is stopped while the request runs
    Then the caller receives the whole answer
    And the marked request ran once
    And the other entry answers 5 requests in a row within 5 s

  Scenario: Every answer of one instance is an error
    Given 2 entries of zone north share 2 upstreams of pool desk
    When upstream desk-0 answers every request with an error
    Then all of 30 repeatable requests are answered

  Scenario: A connection goes silent after a marked request was sent
    Given 2 entries of zone north share 1 upstreams of pool desk
    When upstream desk-0 goes silent
    And a caller sends a marked request that runs 5 ms to the broker
    Then the caller hears that the outcome is unknown
    And the marked request was received once
