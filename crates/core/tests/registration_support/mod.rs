//! Registrations for the tests of the directory.

#![allow(dead_code)]

use bluebell_core::{
    clock::{ClockTime, TimeSpan},
    directory::{
        EndpointDirectory, EndpointRegistration, EngineStage, RegistrationNumber, SoftwareVersion,
    },
    ids::{EndpointId, FailureDomain, ServiceName},
};

/// The number of the registrations of the tests, unless they say otherwise.
pub const FIRST: RegistrationNumber = RegistrationNumber {
    start: 1,
    sequence: 1,
};

pub fn at(millis: u64) -> ClockTime {
    ClockTime::from_millis(millis)
}

pub fn id(name: &str) -> EndpointId {
    EndpointId::new(name).unwrap()
}

pub fn chat() -> ServiceName {
    ServiceName::new("chat").unwrap()
}

pub fn registration(name: &str) -> EndpointRegistration {
    EndpointRegistration {
        id: id(name),
        start: 1,
        service: chat(),
        address: "10.0.0.1:80".parse().unwrap(),
        domain: FailureDomain::new("se-a").unwrap(),
        version: SoftwareVersion::new("v1"),
        slots: 8,
        is_leaving: false,
        leaves_in: None,
        is_preemptible: false,
        stage: Some(EngineStage::Decode),
        warming: TimeSpan::ZERO,
        sequence: 1,
    }
}

pub fn open(directory: &EndpointDirectory) -> Vec<String> {
    let chat = chat();
    let names = directory
        .available_for(&chat)
        .map(|entry| entry.id.to_string());
    names.collect()
}
