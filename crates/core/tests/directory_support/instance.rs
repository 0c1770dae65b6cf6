//! The state of one instance.

use std::collections::VecDeque;

use bluebell_core::{
    clock::{ClockTime, TimeSpan},
    directory::{
        DirectoryChange, DirectorySync, EndpointDirectory, EndpointRegistration,
        RegistrationNumber, WantedCopy,
    },
    ids::EndpointId,
    relay::{ChangeQueue, ConfirmationSource, StoreReads},
};

use crate::fleet_support::{ProcessState, at};

/// A changed registration, or how long one that has lapsed is kept.
#[derive(Clone, Debug)]
pub struct ModelChange {
    pub id: EndpointId,
    pub registration: Option<EndpointRegistration>,
    pub kept_for: Option<TimeSpan>,
    /// The last registration, if it was removed.
    pub number: RegistrationNumber,
}

/// What an instance does at present to bring its directory up to date.
#[derive(Clone, Debug)]
pub enum Activity {
    Idle {
        until: u64,
    },
    /// A read of everything, or of the records from an offset up to the end when it was sent.
    Read {
        sent: u64,
        until: u64,
        is_answered: bool,
        answer: ReadAnswer,
    },
    /// A request for a copy, until the source has a suitable state or rejects it.
    AskForCopy {
        until: u64,
        source: usize,
        wanted: WantedCopy,
    },
    /// The transfer of a copy.
    Copy {
        until: u64,
        copied: ModelCopy,
    },
}

/// A copy of the directory of an instance.
#[derive(Clone, Debug)]
pub struct ModelCopy {
    pub known_at: ClockTime,
    pub digest: u64,
    pub listed: Vec<EndpointRegistration>,
}

/// What a read returns if it is answered.
#[derive(Clone, Debug)]
pub enum ReadAnswer {
    All {
        registered: Vec<EndpointRegistration>,
        end: usize,
    },
    Records {
        from: usize,
        end: usize,
    },
}

/// A relay message of a reader.
#[derive(Clone, Debug)]
pub struct Datagram {
    pub arrives: u64,
    pub from: usize,
    pub age_ms: u64,
    pub known_at: u64,
    pub digest: u64,
    pub changes: Vec<ModelChange>,
    pub omissions: u64,
}

/// An instance with the production state of its directory.
pub struct ModelInstance {
    pub process: ProcessState,
    pub directory: EndpointDirectory,
    pub sync: DirectorySync,
    pub changes: ChangeQueue<EndpointId, ModelChange>,
    pub reads: StoreReads,
    pub activity: Activity,
    /// The offset to read next; `None` if everything has to be read.
    pub next: Option<usize>,
    pub inbox: VecDeque<Datagram>,
    pub is_reader_behind: bool,
}

impl ModelInstance {
    /// An instance whose process has just started.
    pub fn with_process(process: ProcessState) -> ModelInstance {
        ModelInstance {
            activity: Activity::Idle {
                until: process.started,
            },
            process,
            directory: EndpointDirectory::new(),
            sync: DirectorySync::new(),
            changes: ChangeQueue::new(),
            reads: StoreReads::new(),
            next: None,
            inbox: VecDeque::new(),
            is_reader_behind: false,
        }
    }

    /// Applies a read of everything that was complete at `known_at`.
    pub fn take_all(&mut self, now: u64, known_at: u64, registered: &[EndpointRegistration]) {
        self.directory.note_own_answer(at(now));
        for registration in registered {
            self.register(now, registration);
        }
        self.retain(now, registered);
        self.sync.confirm(at(known_at), ConfirmationSource::Store);
    }

    /// Applies a copy that was complete at `known_at`.
    pub fn take_copy(&mut self, now: u64, known_at: ClockTime, listed: &[EndpointRegistration]) {
        for registration in listed {
            if !self.directory.has_newer(registration) {
                self.directory.register(registration.clone());
            }
        }
        self.retain(now, listed);
        self.sync.confirm(known_at, ConfirmationSource::Copy);
    }

    fn retain(&mut self, now: u64, listed: &[EndpointRegistration]) {
        let is_listed = |id: &EndpointId| listed.iter().any(|entry| entry.id == *id);
        self.directory.retain_listed(at(now), is_listed);
    }

    pub fn register(&mut self, now: u64, registration: &EndpointRegistration) {
        let change = self.directory.register(registration.clone());
        if !matches!(change, DirectoryChange::Same | DirectoryChange::Outdated) {
            self.queue(now, &registration.id, Some(registration.clone()));
        }
    }

    pub fn unregister(&mut self, now: u64, id: &EndpointId) {
        let change = self.directory.unregister(at(now), id);
        if change != DirectoryChange::Same {
            self.queue(now, id, None);
        }
    }

    /// The changes for the next datagram.
    pub fn due_changes(&mut self, now: u64, most: usize) -> Vec<ModelChange> {
        let due = self.changes.take_due(at(now), most).into_iter();
        let aged = due.map(|(change, age)| ModelChange {
            kept_for: change.kept_for.map(|kept_for| kept_for.saturating_sub(age)),
            ..change
        });
        aged.collect()
    }

    fn queue(&mut self, now: u64, id: &EndpointId, registration: Option<EndpointRegistration>) {
        let change = ModelChange {
            id: id.clone(),
            registration,
            kept_for: self.directory.remaining_grace(at(now), id),
            number: self.directory.last_number(id),
        };
        self.changes.note(at(now), id.clone(), change);
    }
}
