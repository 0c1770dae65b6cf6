//! Sizes of the records that are appended most.

use bluebell_core::{
    clock::TimeSpan,
    ids::{
        IdempotencyKey, InstanceId, LogOffset, OrganisationId, RequestFingerprint, RequestId,
        ServiceName,
    },
    records::{
        ClaimBatch, ClaimSettlement, DutyName, IdempotencyClaim, LeaseAction, LeaseRecord,
        LogRecord, SettledResult, SettlementBatch, UsageDelta, UsageLine, UsageWindow,
    },
    units::TokenCount,
};

use crate::{slopes::view, tables::TextTable};

fn claims(count: u64) -> LogRecord {
    let organisation = OrganisationId::new("organisation-4711").expect("an identifier");
    let claim = |n: u64| IdempotencyClaim {
        organisation: organisation.clone(),
        key: IdempotencyKey::new(format!("2c8e6d1a-7d0f-4b1e-9a53-{n:012}")).expect("valid"),
        request: RequestId::new(format!("entry-17-{n:012}")).expect("an identifier"),
        fingerprint: RequestFingerprint::with_content(&organisation, &n.to_le_bytes()),
        entry: InstanceId::new("entry-17").expect("an identifier"),
    };
    LogRecord::Claims(ClaimBatch {
        claims: (0..count).map(claim).collect(),
    })
}

fn settlements(count: u64) -> LogRecord {
    let settlement = |n: u64| ClaimSettlement {
        organisation: OrganisationId::new("organisation-4711").expect("an identifier"),
        key: IdempotencyKey::new(format!("2c8e6d1a-7d0f-4b1e-9a53-{n:012}")).expect("valid"),
        request: RequestId::new(format!("entry-17-{n:012}")).expect("an identifier"),
        result: SettledResult::Answered {
            status: 200,
            content_type: "application/json".to_string(),
            body: Some("{\"unlocked\":true,\"bay\":4}".to_string()),
        },
    };
    LogRecord::Settlements(SettlementBatch {
        settlements: (0..count).map(settlement).collect(),
    })
}

fn usage(lines: u64) -> LogRecord {
    let line = |n: u64| UsageLine {
        organisation: OrganisationId::new(format!("organisation-{n}")).expect("an identifier"),
        service: ServiceName::new("customer-chat").expect("an identifier"),
        requests: 3,
        prompt_tokens: TokenCount::new(2_700),
        output_tokens: TokenCount::new(310),
    };
    LogRecord::Usage(UsageDelta {
        entry: InstanceId::new("entry-17").expect("an identifier"),
        window: UsageWindow::new(497_123),
        lines: (0..lines).map(line).collect(),
    })
}

fn renewal() -> LogRecord {
    LogRecord::Lease(LeaseRecord {
        duty: DutyName::Fleet,
        holder: InstanceId::new("controller-17").expect("an identifier"),
        action: LeaseAction::Renew {
            fence: LogOffset::new(1_234_567),
        },
        duration: TimeSpan::from_secs(6),
        supersedes: None,
    })
}

/// Prints the table.
pub fn table() -> String {
    let mut table = TextTable::new(
        "Records: their JSON in the log",
        "`bluebell-lab capacity --only records`",
        &["record", "bytes"],
    );
    let records = [
        ("lease renewal", renewal()),
        ("claims, 1", claims(1)),
        ("claims, 10", claims(10)),
        ("claims, 50", claims(50)),
        ("settlements, 10", settlements(10)),
        ("usage delta, 1 line", usage(1)),
        ("usage delta, 17 lines", usage(17)),
        (
            "publish of an organisation with its key",
            view::publish(4_711).record,
        ),
    ];
    for (name, record) in records {
        let bytes = serde_json::to_string(&record).map_or(0, |text| text.len());
        table.row(&[name.to_string(), bytes.to_string()]);
    }
    table.finish()
}
