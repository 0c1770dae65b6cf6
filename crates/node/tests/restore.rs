//! Starting with and without the log, and after the log has dropped older records.

mod support;

use bluebell_core::{
    checkpoint::{CheckpointSchedule, CheckpointWriter, KeptRange, PART_SIZE},
    clock::TimeSpan,
    ids::LogOffset,
    records::LogRecord,
};
use bluebell_node::AppendError;
use standin_platform::faults::{EffectCall, LossKind, LostAnswers, PlatformFaults};
use support::{TestNode, TestPlatform, WAIT_TIMEOUT, key, organisation, wait_until, withdrawal};

/// Appends `records` filler records, so that the log drops older ones.
async fn append_fillers(node: &TestNode, records: usize) {
    for _ in 0..records {
        let record = LogRecord::Withdraw(withdrawal("some other key"));
        node.node.append(record).await.expect("appended");
    }
}

async fn checkpoint(node: &TestNode) {
    let writer = node
        .node
        .with_view(|view| CheckpointWriter::new(LogOffset::START, view, PART_SIZE));
    let mut writer = writer.expect("not empty");
    while let Some(part) = writer.next_part() {
        let record = LogRecord::Checkpoint(part);
        let offset = node.node.append(record).await.expect("appended");
        assert!(node.node.wait_applied(offset, WAIT_TIMEOUT).await);
    }
}

async fn is_due(node: &TestNode, schedule: &CheckpointSchedule) -> bool {
    let next = node.node.progress().next;
    let platform = node.node.platform();
    let answer = platform.read(next, 1, TimeSpan::ZERO).await.expect("read");
    let kept = KeptRange {
        first_kept: answer.first_kept,
        end: answer.end,
    };
    let newest = node.node.with_view(|view| view.checkpoint.newest());
    schedule.is_due(node.node.clock().now(), next, kept, newest)
}

/// All instances restart at once after the log has dropped the publishes. The
/// configuration must be restored as last accepted, and a publish that is based on
/// an older version must not revert it.
#[tokio::test(flavor = "multi_thread")]
async fn a_restart_of_all_instances_after_retention_reverts_nothing() {
    let platform = TestPlatform::start(30).await;
    let before = platform.join("before", "x").await;
    let first = before.publish(organisation("one", None, 1)).await;
    let second = before.publish(organisation("one", Some(first), 2)).await;
    before.publish(key("k", "secret")).await;
    before.node.withdraw(&withdrawal("secret"));
    append_fillers(&before, 25).await;
    checkpoint(&before).await;
    append_fillers(&before, 20).await;
    drop(before);
    let after = platform.join("after", "x").await;
    assert!(after.node.wait_caught_up(WAIT_TIMEOUT).await);
    assert_eq!(after.weight("one"), Some(2));
    assert!(!after.accepts_key("secret"));
    let record = LogRecord::Publish(bluebell_core::records::PublishRecord {
        publisher: "late".to_string(),
        changes: vec![organisation("one", Some(first), 1)],
    });
    let offset = after.node.append(record).await.expect("appended");
    assert!(after.node.wait_applied(offset, WAIT_TIMEOUT).await);
    assert_eq!(after.weight("one"), Some(2));
    after.publish(organisation("one", Some(second), 3)).await;
    assert_eq!(after.weight("one"), Some(3));
}

/// The log has dropped older records and holds no checkpoint. Continuing from the
/// oldest entry would leave a process without services, keys and claims that
/// reports itself up to date; it must stay not ready and report why.
#[tokio::test(flavor = "multi_thread")]
async fn a_gap_that_nothing_closes_is_reported_and_not_skipped() {
    let platform = TestPlatform::start(10).await;
    let before = platform.follow("before");
    before.publish(organisation("one", None, 1)).await;
    append_fillers(&before, 20).await;
    let after = platform.join("after", "x").await;
    wait_until("the reported obstacle", || {
        let obstacle = after.node.obstacle();
        obstacle.is_some_and(|obstacle| obstacle.contains("neither a complete checkpoint"))
    })
    .await;
    assert!(!after.node.progress().caught_up);
    assert_eq!(after.node.progress().next, LogOffset::START);
}

/// The log has dropped older records, but another instance still runs. It started
/// from a checkpoint and can't relay earlier entries; a new instance must restore
/// the snapshot of its state instead.
#[tokio::test(flavor = "multi_thread")]
async fn a_gap_is_closed_by_the_state_of_a_peer() {
    let platform = TestPlatform::start(30).await;
    let oldest = platform.follow("oldest");
    oldest.publish(organisation("one", None, 7)).await;
    append_fillers(&oldest, 25).await;
    checkpoint(&oldest).await;
    append_fillers(&oldest, 10).await;
    let before = platform.join("before", "x").await;
    assert!(before.node.wait_caught_up(WAIT_TIMEOUT).await);
    append_fillers(&oldest, 30).await;
    drop(oldest);
    let after = platform.join("after", "x").await;
    assert!(after.node.wait_caught_up(WAIT_TIMEOUT).await);
    assert_eq!(after.weight("one"), Some(7));
}

/// An instance is replaced while the log is down. If a peer has caught up with the
/// log, the new instance must become ready from it. Without such a peer it would
/// have no record of withdrawn keys and of claims.
#[tokio::test(flavor = "multi_thread")]
async fn a_new_instance_starts_from_peers_while_the_log_is_down() {
    let platform = TestPlatform::start(10_000).await;
    let before = platform.join("before", "x").await;
    before.publish(organisation("one", None, 7)).await;
    assert!(before.node.wait_caught_up(WAIT_TIMEOUT).await);
    platform.log_down().await;
    let after = platform.join("after", "y").await;
    assert!(after.node.wait_caught_up(WAIT_TIMEOUT).await);
    assert_eq!(after.weight("one"), Some(7));
    assert_eq!(after.node.progress().next, before.node.progress().next);
}

/// All instances are lost while the log is down: no new instance may become ready.
#[tokio::test(flavor = "multi_thread")]
async fn without_the_log_and_without_a_ready_peer_no_instance_is_ready() {
    let platform = TestPlatform::start(10_000).await;
    platform.log_down().await;
    let a = platform.join("a", "x").await;
    let b = platform.join("b", "x").await;
    wait_until("a connection between `a` and `b`", || {
        a.has_peer(&b) && b.has_peer(&a)
    })
    .await;
    for node in [&a, &b] {
        wait_until("the reported obstacle", || {
            let obstacle = node.node.obstacle();
            obstacle.is_some_and(|obstacle| obstacle.contains("no peer that is ready"))
        })
        .await;
        let gathered = node.node.clock().now() + TimeSpan::from_secs(3);
        wait_until("3 s for peers to connect", || {
            node.node.clock().now() > gathered
        })
        .await;
        assert!(!node.node.progress().caught_up);
    }
    platform.heal().await;
    assert!(a.node.wait_caught_up(WAIT_TIMEOUT).await);
}

/// The response to an append is lost and the record is sent again. A caller that
/// used the offset of the second copy would hold a fencing number that no instance
/// accepts, because they all apply the first copy.
#[tokio::test(flavor = "multi_thread")]
async fn a_duplicated_append_reports_the_offset_of_its_first_copy() {
    let platform = TestPlatform::start(10_000).await;
    let node = platform.follow("a");
    node.publish(organisation("one", None, 1)).await;
    platform
        .set(PlatformFaults {
            lost_answers: vec![LostAnswers {
                call: EffectCall::Append,
                loss: LossKind::Broken,
                every: 1,
                count: Some(1),
            }],
            ..PlatformFaults::default()
        })
        .await;
    let offset = node.publish(organisation("two", None, 2)).await;
    let version = node.node.with_view(|view| {
        let unit = organisation("two", None, 2).unit;
        view.configuration.unit(&unit).map(|unit| unit.version)
    });
    assert_eq!(version, Some(offset));
    assert_eq!(offset, LogOffset::new(1));
    assert!(node.node.progress().next > offset.next());
}

/// The log refuses appends for longer than the append time-out: the append must be
/// reported as having had no effect.
#[tokio::test(flavor = "multi_thread")]
async fn an_append_that_was_always_refused_is_reported_as_not_appended() {
    let platform = TestPlatform::start(10_000).await;
    let node = platform.follow("a");
    platform.log_down().await;
    let record = LogRecord::Withdraw(withdrawal("k"));
    let error = node.node.append(record).await.expect_err("the log is down");
    assert!(matches!(error, AppendError::NotAppended(_)), "{error}");
}

/// Only withdrawals are appended for a long time. Checkpoints must be written
/// repeatedly, or the organisation would be lost once the log drops its record.
#[tokio::test(flavor = "multi_thread")]
async fn checkpoints_are_written_before_the_log_drops_older_records() {
    let platform = TestPlatform::start(40).await;
    let writer = platform.follow("writer");
    writer.publish(organisation("one", None, 7)).await;
    let now = writer.node.clock().now();
    let schedule = CheckpointSchedule::new(now, 30, TimeSpan::from_secs(3_600));
    let mut written = 0;
    for _ in 0..40 {
        append_fillers(&writer, 3).await;
        if is_due(&writer, &schedule).await {
            checkpoint(&writer).await;
            written += 1;
        }
    }
    assert!(written >= 3, "{written} checkpoints for 120 records");
    let after = platform.follow("after");
    assert!(after.node.wait_caught_up(WAIT_TIMEOUT).await);
    assert_eq!(after.weight("one"), Some(7));
}
