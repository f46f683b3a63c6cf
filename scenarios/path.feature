Feature: The whole path
  A caller's request and a job go through jayshunt as separate processes.

  Scenario: A request is answered by an upstream of its class's pool
    Given 1 entry in zone north with 2 upstreams in pool desk
    And class quotes of pool desk answers within 2000 ms
    When a caller posts "splitter" to class quotes
    Then the caller receives its own whole answer
    And the request ran once

  Scenario: An unknown class is refused before anything runs
    Given 1 entry in zone north with 2 upstreams in pool desk
    And class quotes of pool desk answers within 2000 ms
    When a caller posts "splitter" to class bookings
    Then the caller is refused with code unknown_class and outcome not_run
    And the request ran never
