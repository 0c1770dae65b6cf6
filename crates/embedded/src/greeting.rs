//! What a newcomer sees: where to send a request.

use std::fmt;

use crate::{fleet::EmbeddedFleet, layout::FleetLayout};

/// The text printed once the fleet serves.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct FleetGreeting {
    text: String,
}

impl FleetGreeting {
    /// The greeting of `fleet`.
    pub fn new(layout: &FleetLayout, fleet: &EmbeddedFleet) -> FleetGreeting {
        let [organisation, service, call] = layout.user.greeting_names();
        let entry = fleet.entries[0];
        let platform = fleet.platform;
        let in_force = match fleet.in_force {
            true => "the sample configuration is in force on all instances",
            false => "the sample configuration is published; some instances have not confirmed it",
        };
        let text = format!(
            r#"
{entries} entries, {controllers} controllers and their stand-ins run on loopback; {in_force}.

Ask a model (streamed):
  curl -N http://{entry}/v1/chat/completions \
    -H 'Authorization: Bearer sample-key-{organisation}' \
    -d '{{"model": "{service}", "stream": true, "messages": [{{"role": "user", "content": "Hello, kiosk"}}]}}'

Run an action at most once; send it twice and it runs once:
  curl -X POST http://{entry}/v1/services/{call} \
    -H 'Authorization: Bearer sample-key-{organisation}' \
    -H 'Idempotency-Key: try-1' -d '{{"amount": 5}}'

Look at the fleet:
  cargo run --quiet --bin bluebell -- status --platform {platform}
  curl http://{entry}/dump

Ctrl-C ends it.
"#,
            entries = fleet.entries.len(),
            controllers = fleet.controllers.len(),
        );
        FleetGreeting { text }
    }
}

impl fmt::Display for FleetGreeting {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(&self.text)
    }
}
