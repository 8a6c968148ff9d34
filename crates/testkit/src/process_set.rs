//! Processes that a test starts, with their settings and logs in one folder.
//!
//! Guarantees: only processes of the set are signalled, by process id; all of
//! them are killed when the set is dropped.

use std::collections::BTreeMap;
use std::fs;
use std::path::{Path, PathBuf};
use std::process::{Child, Command, Stdio};

use anyhow::{bail, Context, Result};
use nix::sys::signal::{kill, Signal};
use nix::unistd::Pid;
use tempfile::TempDir;

/// Number of bytes at the end of each log that a failed test prints.
const LOG_TAIL_LEN: usize = 4_000;

#[derive(Debug)]
struct ProcessSlot {
    child: Child,
    settings: PathBuf,
    binary: PathBuf,
    args: Vec<String>,
}

/// Running processes, keyed by name.
#[derive(Debug)]
pub struct ProcessSet {
    folder: TempDir,
    slots: BTreeMap<String, ProcessSlot>,
}

impl ProcessSet {
    /// Creates an empty set in a new temporary folder.
    ///
    /// # Errors
    /// Fails if the folder can't be created.
    pub fn open() -> Result<Self> {
        Ok(ProcessSet {
            folder: TempDir::new()?,
            slots: BTreeMap::new(),
        })
    }

    /// Returns the folder that contains settings, data and logs.
    pub fn folder(&self) -> &Path {
        self.folder.path()
    }

    /// Returns the path of a file in the folder.
    pub fn path(&self, name: &str) -> PathBuf {
        self.folder.path().join(name)
    }

    /// Starts a process. `settings` is written to a file whose path is passed after
    /// `args` on the command line.
    ///
    /// # Errors
    /// Fails if the process can't be started.
    pub fn start(
        &mut self,
        name: &str,
        binary: &Path,
        args: &[&str],
        settings: &str,
    ) -> Result<()> {
        let path = self.path(&format!("{name}.toml"));
        fs::write(&path, settings)?;
        let args: Vec<String> = args.iter().map(|arg| (*arg).to_owned()).collect();
        let child = self.launch(name, binary, &args, &path)?;
        let slot = ProcessSlot {
            child,
            settings: path,
            binary: binary.to_owned(),
            args,
        };
        self.slots.insert(name.to_owned(), slot);
        Ok(())
    }

    fn launch(&self, name: &str, binary: &Path, args: &[String], settings: &Path) -> Result<Child> {
        let log = fs::OpenOptions::new()
            .create(true)
            .append(true)
            .open(self.path(&format!("{name}.log")))?;
        Command::new(binary)
            .args(args)
            .arg("--settings")
            .arg(settings)
            .stdin(Stdio::null())
            .stdout(log.try_clone()?)
            .stderr(log)
            .spawn()
            .with_context(|| format!("can't start {name}"))
    }

    fn slot(&self, name: &str) -> Result<&ProcessSlot> {
        self.slots.get(name).context("no process with this name")
    }

    /// Sends a signal to a process.
    ///
    /// # Errors
    /// Fails if there is no process with this name.
    pub fn signal(&self, name: &str, signal: Signal) -> Result<()> {
        let id = self.slot(name)?.child.id();
        kill(Pid::from_raw(i32::try_from(id)?), signal)?;
        Ok(())
    }

    /// Kills a process with SIGKILL and waits for it to exit.
    ///
    /// # Errors
    /// Fails if there is no process with this name.
    pub fn kill(&mut self, name: &str) -> Result<()> {
        self.signal(name, Signal::SIGKILL)?;
        self.wait(name)?;
        Ok(())
    }

    /// Suspends a process, which simulates a stalled machine.
    ///
    /// # Errors
    /// Fails if there is no process with this name.
    pub fn suspend(&self, name: &str) -> Result<()> {
        self.signal(name, Signal::SIGSTOP)
    }

    /// Resumes a suspended process.
    ///
    /// # Errors
    /// Fails if there is no process with this name.
    pub fn resume(&self, name: &str) -> Result<()> {
        self.signal(name, Signal::SIGCONT)
    }

    /// Waits for a process to exit; returns whether it exited with success.
    ///
    /// # Errors
    /// Fails if there is no process with this name.
    pub fn wait(&mut self, name: &str) -> Result<bool> {
        let slot = self
            .slots
            .get_mut(name)
            .context("no process with this name")?;
        Ok(slot.child.wait()?.success())
    }

    /// Returns whether a process is running.
    pub fn is_running(&mut self, name: &str) -> bool {
        self.slots
            .get_mut(name)
            .is_some_and(|slot| matches!(slot.child.try_wait(), Ok(None)))
    }

    /// Returns the process id.
    pub fn id(&self, name: &str) -> Option<u32> {
        self.slots.get(name).map(|slot| slot.child.id())
    }

    /// Changes the settings file of a process, which takes effect when the process
    /// reads it next.
    ///
    /// # Errors
    /// Fails if the file can't be read or written.
    pub fn edit_settings(&self, name: &str, edit: impl FnOnce(&str) -> String) -> Result<()> {
        let path = &self.slot(name)?.settings;
        // A process that starts meanwhile reads either the old file or the new one.
        let edited = path.with_extension("edited");
        fs::write(&edited, edit(&fs::read_to_string(path)?))?;
        fs::rename(&edited, path)?;
        Ok(())
    }

    /// Restarts a process that has exited, with its current settings file.
    ///
    /// # Errors
    /// Fails if the process is still running or can't be started.
    pub fn restart(&mut self, name: &str) -> Result<()> {
        if self.is_running(name) {
            bail!("{name} is still running");
        }
        let slot = self.slot(name)?;
        let child = self.launch(name, &slot.binary, &slot.args, &slot.settings)?;
        if let Some(slot) = self.slots.get_mut(name) {
            slot.child = child;
        }
        Ok(())
    }

    /// Returns the log of a process across all restarts.
    pub fn log(&self, name: &str) -> String {
        fs::read_to_string(self.path(&format!("{name}.log"))).unwrap_or_default()
    }
}

impl Drop for ProcessSet {
    fn drop(&mut self) {
        for slot in self.slots.values_mut() {
            // Both calls fail only if the process has already exited.
            let _ = slot.child.kill();
            let _ = slot.child.wait();
        }
        if std::thread::panicking() {
            for name in self.slots.keys() {
                let log = self.log(name);
                let start = log.len().saturating_sub(LOG_TAIL_LEN);
                eprintln!("--- log of {name}\n{}", log.get(start..).unwrap_or(&log));
            }
        }
    }
}
