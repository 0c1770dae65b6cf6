//! The checker sees streams that change their version, and those that don't go on.

use bluebell_platform_standin::endpoint::EVENTS;
use bluebell_soak::promises::{ReceivedEvents, TakenUpStream};

fn events(ids: &[u64], version: &str) -> String {
    let events = ids
        .iter()
        .map(|id| format!("id: {id}\ndata: a {id}/8 {version}\n\n"));
    events.collect()
}

#[test]
fn events_are_read_from_where_the_stream_is_taken_up() {
    let body = events(&[4, 5], "v1") + &events(&[6], "v2") + "id: 7\ndata";
    let read = ReceivedEvents::read("a", &body, 3, false).unwrap();
    assert_eq!(read.last, 6);
    assert_eq!(read.versions, ["v1", "v1", "v2"]);
    assert!(ReceivedEvents::read("a", &body, 2, false).is_err());
    assert!(ReceivedEvents::read("a", &body, 3, true).is_err());
    assert!(ReceivedEvents::read("b", &body, 3, false).is_err());
}

/// Guards against a checker that takes an end in order for the end of the stream.
#[test]
fn an_end_in_order_before_the_last_event_is_reported_at_each_event() {
    for after in 0..EVENTS {
        for last in after..=EVENTS {
            let ids: Vec<u64> = (after + 1..=last).collect();
            let read = ReceivedEvents::read("a", &events(&ids, "v1"), after, true);
            assert_eq!(read.is_ok(), last == EVENTS, "after={after} last={last}");
        }
    }
}

mod tally {
    use super::{ReceivedEvents, TakenUpStream, events};
    use bluebell_soak::promises::StreamTally;

    fn taken_up(version: &str) -> TakenUpStream {
        TakenUpStream {
            stream: "a".to_string(),
            last: 3,
            version: version.to_string(),
            is_owed: true,
        }
    }

    /// Guards against a checker that misses streams of two versions.
    #[test]
    fn a_third_mixed_stream_is_reported() {
        let mut tally = StreamTally::default();
        let read = ReceivedEvents::read("a", &events(&[4, 5], "v2"), 3, false).unwrap();
        for is_reported in [false, false, true] {
            tally.check_versions("a", Some(&taken_up("v1")), &read);
            assert_eq!(tally.mixed().is_some(), is_reported);
        }
        let same = taken_up("v2");
        tally.check_versions("a", Some(&same), &read);
        assert!(tally.to_string().contains("mixed=3"));
    }

    /// Guards against a checker that misses streams that don't go on.
    #[test]
    fn streams_that_mostly_do_not_go_on_are_reported() {
        let mut tally = StreamTally::default();
        for number in 0..20 {
            tally.count(None, true, true);
            tally.count(Some(&taken_up("v1")), true, number % 3 == 0);
        }
        assert!(tally.lost().is_some());
        for _ in 0..20 {
            tally.count(Some(&taken_up("v1")), true, true);
            tally.count(Some(&taken_up("v1")), false, false);
        }
        assert!(tally.lost().is_none());
    }
}
