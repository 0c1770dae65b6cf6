//! Which programs run, how many, and in which failure domains.

use std::{fmt, path::PathBuf, str::FromStr};

use bluebell_core::ids::{FailureDomain, RegionId};

/// The users whose samples can be run.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum SampleUser {
    /// Key-cutting kiosks in three south-east failure domains.
    Magnolia,
    /// Phone-charging kiosks in three failure domains of north Taiwan.
    Formosa,
}

impl SampleUser {
    /// The failure domains.
    pub fn domains(self) -> Vec<FailureDomain> {
        let names = match self {
            SampleUser::Magnolia => ["se-a", "se-b", "se-c"],
            SampleUser::Formosa => ["tpe-a", "tpe-b", "tyn-c"],
        };
        names
            .map(|name| FailureDomain::new(name).expect("the names are valid"))
            .to_vec()
    }

    /// The region of all of them.
    pub fn region(self) -> RegionId {
        let name = match self {
            SampleUser::Magnolia => "south-east",
            SampleUser::Formosa => "north-taiwan",
        };
        RegionId::new(name).expect("the names are valid")
    }

    /// Where the sample configuration is, from the root of the source tree.
    pub fn samples(self) -> PathBuf {
        PathBuf::from("samples").join(self.to_string())
    }

    /// An organisation of the samples, a model service and a plain call, for
    /// the greeting.
    pub fn greeting_names(self) -> [&'static str; 3] {
        match self {
            SampleUser::Magnolia => ["southern-keys", "customer-chat", "transactions/charges"],
            SampleUser::Formosa => ["taipei-metro", "renter-assistant", "rental/unlocks"],
        }
    }
}

impl fmt::Display for SampleUser {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(match self {
            SampleUser::Magnolia => "magnolia",
            SampleUser::Formosa => "formosa",
        })
    }
}

/// A text that names no [`SampleUser`].
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct ParseUserError(String);

impl fmt::Display for ParseUserError {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(
            f,
            "`{}` is no sample: expected `magnolia` or `formosa`",
            self.0
        )
    }
}

impl FromStr for SampleUser {
    type Err = ParseUserError;

    fn from_str(text: &str) -> Result<SampleUser, ParseUserError> {
        match text {
            "magnolia" => Ok(SampleUser::Magnolia),
            "formosa" => Ok(SampleUser::Formosa),
            _ => Err(ParseUserError(text.to_string())),
        }
    }
}

/// How many of each program run. Instances and endpoints are dealt out to the
/// failure domains in turn.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct FleetLayout {
    /// Whose sample.
    pub user: SampleUser,
    /// Where the configuration files are.
    pub samples: PathBuf,
    /// Entries.
    pub entries: usize,
    /// Controllers.
    pub controllers: usize,
    /// Engines.
    pub engines: usize,
    /// Replicas of each plain service.
    pub replicas: usize,
}

impl FleetLayout {
    /// A small fleet for `user`: one instance of each program in each failure domain.
    pub fn new(user: SampleUser) -> FleetLayout {
        let samples = user.samples();
        FleetLayout {
            user,
            samples,
            entries: 3,
            controllers: 3,
            engines: 6,
            replicas: 3,
        }
    }

    /// The failure domain of the instance or endpoint of this number.
    pub fn domain(&self, number: usize) -> FailureDomain {
        let domains = self.user.domains();
        domains[number % domains.len()].clone()
    }
}
