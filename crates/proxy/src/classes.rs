//! The names that clients use for classes and tenants, and their numbers.

use oakport_core::settings_wire::ParsedSettings;
use oakport_core::{Class, ClassId, Settings, TenantId};

/// All classes ever named, by their numbers: one that has vanished keeps its own.
#[derive(Debug)]
pub struct Classes {
    names: Vec<String>,
    specs: Vec<Class>,
    tenants: Vec<String>,
}

impl Classes {
    /// As the first settings name them, with those settings for the module.
    pub fn new(facts: ParsedSettings) -> (Self, Settings) {
        let settings = facts.settings;
        let specs = settings.classes.clone();
        (Classes { names: facts.class_names, specs, tenants: facts.tenant_names }, settings)
    }

    /// Takes new settings in; what the module is told has all classes under their old numbers.
    pub fn apply_settings(&mut self, facts: ParsedSettings) -> Settings {
        self.specs.iter_mut().for_each(|class| class.active = false);
        for (name, class) in facts.class_names.into_iter().zip(&facts.settings.classes) {
            match place(&self.names, &name) {
                Some(number) => self.specs[number] = *class,
                None => {
                    self.names.push(name);
                    self.specs.push(*class);
                }
            }
        }
        self.tenants = facts.tenant_names;
        Settings { classes: self.specs.clone(), ..facts.settings }
    }

    /// The class of this name, if the settings in force have one.
    pub fn class_id(&self, name: &str) -> Option<ClassId> {
        place(&self.names, name).filter(|&number| self.specs[number].active).map(ClassId)
    }

    pub fn tenant_id(&self, name: &str) -> Option<TenantId> {
        place(&self.tenants, name).map(TenantId)
    }

    /// Names in the order of their numbers.
    pub fn names(&self) -> &[String] {
        &self.names
    }

    /// The name of a number, as far as there is one.
    pub fn name(&self, class: ClassId) -> &str {
        self.names.get(class.0).map_or("?", String::as_str)
    }
}

fn place(all: &[String], name: &str) -> Option<usize> {
    all.iter().position(|n| n == name)
}
