//! Which of the waiting tasks a notification reaches.

use event_listener::EventListener;
use futures_lite::future::poll_once;
use pinhaven_runtime::PriorityEvent;
use pinhaven_runtime::block_on;

/// Numbers of the listeners that have been notified.
fn notified(listeners: Vec<EventListener>) -> Vec<usize> {
    let has_notification = |listener| block_on(poll_once(listener)).is_some();
    let numbered = listeners.into_iter().enumerate();
    let notified =
        numbered.filter_map(|(number, listener)| has_notification(listener).then_some(number));
    notified.collect()
}

/// Guards against a lost notification: with one task woken for several units, the other units stay unused until a
/// task looks again by itself.
#[test]
fn each_of_several_notifications_reaches_another_listener_although_none_has_run_since() {
    let event = PriorityEvent::<2>::default();
    let listeners: Vec<EventListener> = (0..4).map(|_| event.listen(0)).collect();
    for _ in 0..3 {
        event.notify(1);
    }
    assert_eq!(notified(listeners), [0, 1, 2]);
}

/// Guards against a notification that goes to a lower priority because a listener of the higher one was notified before.
#[test]
fn listeners_of_the_higher_priority_are_notified_first_and_in_their_order() {
    let event = PriorityEvent::<2>::default();
    let listeners = [0, 1, 0, 1, 9].map(|priority| event.listen(priority));
    event.notify(1);
    event.notify(1);
    assert_eq!(notified(Vec::from(listeners)), [1, 3]);

    let listeners = [0, 1, 0, 1, 9].map(|priority| event.listen(priority));
    event.notify(4);
    assert_eq!(notified(Vec::from(listeners)), [0, 1, 3, 4]);
}

/// Guards against tasks that wake each other endlessly, each of them leaving the unit to another one.
#[test]
fn a_notification_is_passed_on_to_one_listener_and_only_once_until_that_one_has_run() {
    let event = PriorityEvent::<2>::default();
    let mut listeners: Vec<EventListener> = (0..3).map(|_| event.listen(0)).collect();
    let of_other_priority = event.listen(1);
    event.pass_on(0);
    event.pass_on(0);
    let first = listeners.remove(0);
    assert!(block_on(poll_once(first)).is_some());
    event.pass_on(0);
    listeners.push(of_other_priority);
    assert_eq!(notified(listeners), [0]);
}
