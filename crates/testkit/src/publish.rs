//! What an operator of a test fleet publishes.

use bluebell_core::{
    clock::TimeSpan,
    config::{KeyUnit, OrganisationUnit, RuleUnit, ServiceTarget, ServiceUnit, UnitBody, UnitName},
    ids::{KeyDigest, LogOffset, ModelName, OrganisationId, ServiceName, WriterId},
    records::{LogRecord, PublishRecord, UnitChange, WithdrawRecord},
    units::{ShareWeight, TokenCount},
};
use bluebell_platform::api::AppendRequest;

use crate::fleet::{CHAT_MODEL, CHAT_SERVICE, PLAIN_SERVICE, TestFleet};

impl TestFleet {
    /// Appends a record as an operator does.
    pub async fn append(&mut self, record: &LogRecord) -> anyhow::Result<LogOffset> {
        self.appends += 1;
        let request = AppendRequest {
            writer: WriterId::new("operator")?,
            sequence: self.appends,
            payload: serde_json::to_string(record)?,
        };
        Ok(self.client.append(&request).await?.offset)
    }

    /// Publishes units that are new.
    pub async fn publish(&mut self, units: Vec<(UnitName, UnitBody)>) -> anyhow::Result<LogOffset> {
        let change = |(unit, body)| UnitChange {
            unit,
            base: None,
            body: Some(body),
        };
        let record = PublishRecord {
            publisher: "operator".to_string(),
            changes: units.into_iter().map(change).collect(),
        };
        self.append(&LogRecord::Publish(record)).await
    }

    pub(crate) async fn publish_services(&mut self) -> anyhow::Result<()> {
        let chat = ServiceUnit {
            target: ServiceTarget::Model {
                model: ModelName::new(CHAT_MODEL)?,
                max_tokens: TokenCount::new(4_096),
            },
            priority: Default::default(),
            deadline: TimeSpan::from_secs(60),
            progress_limit: TimeSpan::from_secs(2),
            preemptible: self.shape.preemptible_engines > 0,
        };
        let plain = ServiceUnit {
            target: ServiceTarget::Plain {},
            preemptible: false,
            ..chat.clone()
        };
        let lookups = RuleUnit {
            service: ServiceName::new(PLAIN_SERVICE)?,
            method: None,
            path_prefix: "lookup".to_string(),
            repeatable: true,
        };
        let units = vec![
            (unit("service", CHAT_SERVICE)?, UnitBody::Service(chat)),
            (unit("service", PLAIN_SERVICE)?, UnitBody::Service(plain)),
            (unit("rule", "rental-lookups")?, UnitBody::Rule(lookups)),
        ];
        self.publish(units).await.map(drop)
    }

    /// Publishes an organisation with one key.
    pub async fn add_organisation(&mut self, name: &str, key: &str) -> anyhow::Result<LogOffset> {
        let organisation = OrganisationUnit {
            weight: ShareWeight::new(1),
            services: Vec::new(),
            max_in_flight: 1_000,
        };
        let grant = KeyUnit {
            organisation: OrganisationId::new(name)?,
            digest: KeyDigest::with_key(key),
        };
        let units = vec![
            (
                unit("organisation", name)?,
                UnitBody::Organisation(organisation),
            ),
            (unit("key", &format!("{name}-key"))?, UnitBody::Key(grant)),
        ];
        self.publish(units).await
    }

    /// Withdraws a key.
    pub async fn withdraw_key(&mut self, key: &str) -> anyhow::Result<LogOffset> {
        let record = WithdrawRecord {
            digest: KeyDigest::with_key(key),
            publisher: "operator".to_string(),
        };
        self.append(&LogRecord::Withdraw(record)).await
    }
}

fn unit(kind: &str, name: &str) -> anyhow::Result<UnitName> {
    Ok(format!("{kind}/{name}").parse()?)
}
