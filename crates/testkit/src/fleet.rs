//! A whole fleet as separate processes on loopback.

use anyhow::Context;
use bluebell_core::{
    ids::{EndpointId, FailureDomain, InstanceId, ModelName, ServiceName},
    records::CapacityKind,
};
use bluebell_platform::{
    PlatformClient,
    api::{EndpointKind, EndpointListing, EndpointState},
};

use tokio::net::TcpListener;

use crate::{
    control,
    link::{CutLink, LinkMode},
    process::ProgramProcess,
    settings::NodePlace,
    wait,
};

/// The model service of a test fleet.
pub const CHAT_SERVICE: &str = "assistant";

/// The plain service of a test fleet.
pub const PLAIN_SERVICE: &str = "rental";

/// The model that its engines have loaded.
pub const CHAT_MODEL: &str = "small-chat";

/// How large a fleet is and how it is set.
#[derive(Clone, Debug)]
pub struct FleetShape {
    /// The failure domains.
    pub domains: Vec<String>,
    /// Entries in each.
    pub entries: usize,
    /// Controllers in each.
    pub controllers: usize,
    /// Engines in each.
    pub engines: usize,
    /// How many of these can be reclaimed.
    pub preemptible_engines: usize,
    /// Plain service replicas in each.
    pub services: usize,
    /// Whether peers reach each other through links that can be cut.
    pub peer_links: bool,
    /// More settings of the platform, in TOML.
    pub platform_settings: String,
    /// More settings of engines, in TOML.
    pub engine_settings: String,
    /// More settings of entries, in TOML.
    pub entry_settings: String,
    /// More settings of controllers, in TOML.
    pub controller_settings: String,
}

impl FleetShape {
    /// One failure domain with one entry, one engine, one plain service.
    pub fn new() -> FleetShape {
        FleetShape {
            domains: vec!["zone-a".to_string()],
            entries: 1,
            controllers: 0,
            engines: 1,
            preemptible_engines: 0,
            services: 1,
            peer_links: false,
            platform_settings: "list_lag = \"200ms\"".to_string(),
            engine_settings: "[costs]\nspeed = 10".to_string(),
            entry_settings: String::new(),
            controller_settings: String::new(),
        }
    }

    /// The same over these failure domains.
    pub fn with_domains(mut self, domains: &[&str]) -> FleetShape {
        self.domains = domains.iter().map(ToString::to_string).collect();
        self
    }
}

impl Default for FleetShape {
    fn default() -> FleetShape {
        FleetShape::new()
    }
}

/// One process of the fleet.
#[derive(Debug)]
pub struct FleetMember {
    /// Its name: an instance id or an endpoint id.
    pub name: String,
    /// Its failure domain.
    pub failure_domain: FailureDomain,
    /// The process.
    pub process: ProgramProcess,
    /// The link by which peers reach it, if there is one.
    pub link: Option<CutLink>,
}

/// A running fleet; its processes are killed when it is dropped.
#[derive(Debug)]
pub struct TestFleet {
    /// How large it is.
    pub shape: FleetShape,
    /// The platform.
    pub platform: ProgramProcess,
    /// The engines.
    pub engines: Vec<FleetMember>,
    /// The plain service's replicas.
    pub services: Vec<FleetMember>,
    /// The entries.
    pub entries: Vec<FleetMember>,
    /// The controllers.
    pub controllers: Vec<FleetMember>,
    pub(crate) client: PlatformClient,
    pub(crate) appends: u64,
}

impl TestFleet {
    /// Starts a fleet and publishes [`CHAT_SERVICE`] and [`PLAIN_SERVICE`], whose
    /// calls below `lookup` may be repeated.
    pub async fn start(shape: FleetShape) -> anyhow::Result<TestFleet> {
        let platform = ProgramProcess::start("standin-platform", &shape.platform_settings).await?;
        let operator = InstanceId::new("operator")?;
        let outside = FailureDomain::new("outside")?;
        let client = PlatformClient::new(platform.http(), &operator, &outside);
        let mut fleet = TestFleet {
            shape,
            platform,
            engines: Vec::new(),
            services: Vec::new(),
            entries: Vec::new(),
            controllers: Vec::new(),
            client,
            appends: 0,
        };
        fleet.publish_services().await?;
        for domain in fleet.shape.domains.clone() {
            fleet.start_domain(&FailureDomain::new(domain)?).await?;
        }
        Ok(fleet)
    }

    async fn start_domain(&mut self, domain: &FailureDomain) -> anyhow::Result<()> {
        for number in 0..self.shape.engines {
            let name = format!("engine-{domain}-{number}");
            let settings = self.shape.engine_settings.clone();
            let member = member("standin-engine", &name, domain, &settings).await?;
            let capacity = match number < self.shape.preemptible_engines {
                true => CapacityKind::Preemptible,
                false => CapacityKind::Reserved,
            };
            self.register(&member, EndpointKind::Engine, capacity)
                .await?;
            self.engines.push(member);
        }
        for number in 0..self.shape.services {
            let name = format!("service-{domain}-{number}");
            let member = member("standin-service", &name, domain, "").await?;
            let capacity = CapacityKind::Reserved;
            self.register(&member, EndpointKind::Plain, capacity)
                .await?;
            self.services.push(member);
        }
        for number in 0..self.shape.entries {
            let name = format!("entry-{domain}-{number}");
            self.start_entry(&name, domain).await?;
        }
        for number in 0..self.shape.controllers {
            let name = format!("controller-{domain}-{number}");
            self.start_controller(&name, domain).await?;
        }
        Ok(())
    }

    /// Starts one more entry.
    pub async fn start_entry(&mut self, name: &str, domain: &FailureDomain) -> anyhow::Result<()> {
        let (place, link) = self.place(name, domain).await?;
        let settings = place.settings(&self.shape.entry_settings);
        let mut entry = member("bluebell-entry", name, domain, &settings).await?;
        entry.link = link;
        self.entries.push(entry);
        Ok(())
    }

    /// Starts one more controller.
    pub async fn start_controller(
        &mut self,
        name: &str,
        domain: &FailureDomain,
    ) -> anyhow::Result<()> {
        let (place, link) = self.place(name, domain).await?;
        let settings = place.settings(&self.shape.controller_settings);
        let mut controller = member("bluebell-controller", name, domain, &settings).await?;
        controller.link = link;
        self.controllers.push(controller);
        Ok(())
    }

    async fn place(
        &self,
        name: &str,
        domain: &FailureDomain,
    ) -> anyhow::Result<(NodePlace, Option<CutLink>)> {
        let mut place = NodePlace {
            instance: InstanceId::new(name)?,
            failure_domain: domain.clone(),
            platform: self.platform.http().to_string(),
            peer_address: "127.0.0.1:0".to_string(),
            peer_advertise: None,
        };
        if !self.shape.peer_links {
            return Ok((place, None));
        }
        // The link must know the peer address before the process has one.
        let free = TcpListener::bind("127.0.0.1:0").await?.local_addr()?;
        let link = CutLink::start(free).await?;
        place.peer_address = free.to_string();
        place.peer_advertise = Some(link.address.to_string());
        Ok((place, Some(link)))
    }

    /// Changes what all links between peers do.
    pub fn set_peer_links(&self, mode: LinkMode) {
        let members = self.entries.iter().chain(&self.controllers);
        for link in members.filter_map(|member| member.link.as_ref()) {
            link.set(mode);
        }
    }

    async fn register(
        &self,
        member: &FleetMember,
        kind: EndpointKind,
        capacity: CapacityKind,
    ) -> anyhow::Result<()> {
        let (service, model) = match kind {
            EndpointKind::Engine => (CHAT_SERVICE, Some(ModelName::new(CHAT_MODEL)?)),
            EndpointKind::Plain => (PLAIN_SERVICE, None),
        };
        let listing = EndpointListing {
            endpoint: EndpointId::new(member.name.clone())?,
            failure_domain: member.failure_domain.clone(),
            kind,
            capacity,
            service: ServiceName::new(service)?,
            model,
            address: member.process.http().to_string(),
            state: EndpointState::Ready,
            checks_fencing: true,
        };
        control::post(self.platform.http(), "/control/endpoints", &listing).await
    }

    /// What our own processes logged, to be read when a test fails.
    pub fn logs(&self) -> String {
        let members = self.entries.iter().chain(&self.controllers);
        members
            .map(|member| format!("--- {}\n{}", member.name, member.process.log()))
            .collect()
    }

    /// Waits until every entry says that it is ready.
    pub async fn entries_ready(&self) -> anyhow::Result<()> {
        for entry in &self.entries {
            let url = format!("http://{}/ready", entry.process.http());
            let event = format!("`{}` is ready", entry.name);
            let ready = wait::until(&event, || async {
                let response = reqwest::get(&url).await.ok()?;
                response.status().is_success().then_some(())
            });
            ready.await.with_context(|| entry.process.log())?;
        }
        Ok(())
    }
}

async fn member(
    program: &str,
    name: &str,
    domain: &FailureDomain,
    settings: &str,
) -> anyhow::Result<FleetMember> {
    Ok(FleetMember {
        name: name.to_string(),
        failure_domain: domain.clone(),
        process: ProgramProcess::start(program, settings).await?,
        link: None,
    })
}
