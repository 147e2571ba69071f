"use strict";

// The fields of a document. A problem is shown beside the field whose path it
// has; the paths are those of docs/document.md with the index of each row.
const general = [
  { key: "generation", label: "Generation", kind: "number" },
  { key: "policy", label: "Policy", kind: "choice", choices: ["cost", "round", "least", "choices"] },
];
const sections = [
  { key: "domains", title: "Failure domains", one: "failure domain", fields: [
    { key: "name", label: "Name" },
    { key: "region", label: "Region" },
  ] },
  { key: "tiers", title: "Tiers", one: "tier", fields: [
    { key: "name", label: "Name" },
    { key: "rank", label: "Rank (0 is the highest)", kind: "number" },
    { key: "deadline", label: "Deadline, such as 30s" },
  ] },
  { key: "models", title: "Models", one: "model", fields: [
    { key: "name", label: "Name" },
    { key: "context", label: "Context in tokens", kind: "number" },
    { key: "adapters", label: "Adapters, one a line", kind: "list" },
    { key: "versions", label: "Versions, one a line", kind: "list" },
  ] },
  { key: "sets", title: "Sets of endpoints", one: "set", fields: [
    { key: "name", label: "Name" },
    { key: "kind", label: "Kind", kind: "choice", choices: ["engine", "service"] },
    { key: "model", label: "Model (engines)", optional: true, names: "models" },
    { key: "version", label: "Version (engines)", optional: true },
    { key: "role", label: "Role (engines)", kind: "choice", choices: ["", "both", "prefill", "decode"], optional: true },
    { key: "adapters", label: "Adapters, one a line (engines)", kind: "list" },
    { key: "fencing", label: "Endpoints refuse orders with an old fencing number (engines)", kind: "flag" },
  ] },
  { key: "services", title: "Services", one: "service", fields: [
    { key: "name", label: "Name" },
    { key: "set", label: "Set", names: "sets" },
    { key: "idempotent", label: "Idempotent methods, one a line", kind: "list" },
  ] },
  { key: "organisations", title: "Organisations", one: "organisation", fields: [
    { key: "name", label: "Name" },
    { key: "tiers", label: "Tiers, one a line; the first is the default", kind: "list" },
    { key: "share", label: "Share", kind: "number" },
    { key: "rate", label: "Requests per second at each entry", kind: "number" },
    { key: "inflight", label: "Open requests at each entry", kind: "number" },
    { key: "keys", label: "Digests of keys, one a line: sha256: and 64 hex digits", kind: "list", wide: true },
  ] },
];

const checkDelay = 300; // ms after the last change, so that typing does not check each letter
const checkInterval = 15000; // ms; shows that another document came into force
const maxRows = 20; // a section with more rows starts closed

const $ = (id) => document.getElementById(id);

// make returns an element. Values are set as properties and text, never as markup.
function make(tag, properties = {}, ...children) {
  const element = Object.assign(document.createElement(tag), properties);
  element.append(...children);
  return element;
}

let counter = 0;
let generalParts = []; // the inputs of the general fields
let rows = {}; // section key -> rows in the order of the document
let origin = "0"; // generation that the forms were filled from
let current = {}; // document in force, as last loaded
let currentGeneration = "0";
let checked = null; // text without problems, or null
let sequence = 0; // of checks, so that a late answer is ignored
let timer = 0;
let shown = ""; // last shown answer, so that a repeated check moves no focus

// inputFor makes the input of a field with its label and place for problems.
function inputFor(field, value) {
  const id = "f" + ++counter;
  let input;
  switch (field.kind) {
  case "choice":
    input = make("select", {}, ...field.choices.map((c) => make("option", { value: c, textContent: c || "none" })));
    input.value = value ?? field.choices[0];
    break;
  case "flag":
    input = make("input", { type: "checkbox", checked: Boolean(value) });
    break;
  case "list":
    input = make("textarea", { value: (value ?? []).join("\n"), rows: Math.min(Math.max((value ?? []).length, 2), 6), spellcheck: false });
    break;
  default:
    input = make("input", { type: "text", value: String(value ?? ""), spellcheck: false });
    if (field.kind === "number") input.inputMode = "decimal";
    if (field.names) input.setAttribute("list", "names-" + field.names);
  }
  input.id = id;
  input.setAttribute("aria-describedby", id + "-problem");
  const problem = make("p", { id: id + "-problem", className: "problem" });
  const label = make("label", { htmlFor: id, textContent: field.label });
  const box = make("div", { className: field.wide ? "wide" : "" }, label, input, problem);
  return { field, input, problem, box };
}

function read({ field, input }) {
  switch (field.kind) {
  case "flag":
    return input.checked;
  case "list":
    return input.value.split("\n").map((s) => s.trim()).filter((s) => s !== "");
  }
  return input.value.trim();
}

// encode returns the JSON of a field, or null when it is to be left out. Numbers
// keep their digits: a generation may exceed what a JavaScript number can hold.
function encode(part) {
  const value = read(part);
  if (value === false || (Array.isArray(value) && value.length === 0) || (value === "" && part.field.optional)) return null;
  const isNumber = part.field.kind === "number" && /^-?(0|[1-9]\d*)(\.\d+)?([eE][+-]?\d+)?$/.test(value);
  return JSON.stringify(part.field.key) + ": " + (isNumber ? value : JSON.stringify(value));
}

function documentText() {
  const item = (parts) => parts.map(encode).filter((s) => s !== null).join(", ");
  const lines = generalParts.map((part) => "  " + encode(part));
  for (const s of sections) {
    if (rows[s.key].length === 0) continue;
    lines.push(`  ${JSON.stringify(s.key)}: [\n` + rows[s.key].map((r) => `    {${item(r.parts)}}`).join(",\n") + "\n  ]");
  }
  return "{\n" + lines.join(",\n") + "\n}\n";
}

function addRow(section, value) {
  const row = { parts: section.fields.map((f) => inputFor(f, value[f.key])) };
  row.legend = make("legend");
  row.problem = make("p", { className: "problem" });
  row.remove = make("button", { type: "button", textContent: "Remove" });
  row.box = make("fieldset", {}, row.legend, make("div", { className: "fields" }, ...row.parts.map((p) => p.box)), row.problem, row.remove);
  row.remove.addEventListener("click", () => {
    const list = rows[section.key];
    const i = list.indexOf(row);
    list.splice(i, 1);
    row.box.remove();
    // The focus stays near the removed row for users of a keyboard.
    (list[Math.min(i, list.length - 1)]?.remove ?? section.add).focus();
    edited();
  });
  rows[section.key].push(row);
  section.list.append(row.box);
  return row;
}

function fill(doc, generation) {
  origin = generation;
  $("general").replaceChildren();
  $("sections").replaceChildren();
  generalParts = general.map((f) => inputFor(f, f.key === "generation" ? String(BigInt(generation) + 1n) : doc[f.key]));
  $("general").append(...generalParts.map((p) => p.box));
  for (const s of sections) {
    rows[s.key] = [];
    s.list = make("div");
    s.problem = make("p", { className: "problem" });
    s.add = make("button", { type: "button", textContent: "Add " + s.one });
    s.names = make("datalist", { id: "names-" + s.key });
    s.count = make("span");
    const items = doc[s.key] ?? [];
    s.details = make("details", { open: items.length <= maxRows }, make("summary", {}, make("h2", {}, s.title + " ", s.count)), s.problem, s.list, s.add, s.names);
    $("sections").append(s.details);
    items.forEach((item) => addRow(s, item));
    s.add.addEventListener("click", () => {
      addRow(s, {}).parts[0].input.focus();
      edited();
    });
  }
  $("origin").textContent = generation === "0"
    ? "No document is in force yet; the forms start empty."
    : `Started from generation ${generation}; the new document is proposed as generation ${BigInt(generation) + 1n}.`;
  edited();
}

// edited invalidates the last check and starts another one soon.
function edited() {
  checked = null;
  shown = "";
  sequence++;
  $("download").disabled = true;
  $("state").textContent = "Checking.";
  for (const s of sections) {
    s.count.textContent = `(${rows[s.key].length})`;
    rows[s.key].forEach((r) => {
      const name = read(r.parts[0]);
      r.legend.textContent = `${s.one} ${name}`;
      r.remove.setAttribute("aria-label", `Remove ${s.one} ${name}`);
    });
    if (s.key === "models" || s.key === "sets") {
      s.names.replaceChildren(...rows[s.key].map((r) => make("option", { value: read(r.parts[0]) })));
    }
  }
  clearTimeout(timer);
  timer = setTimeout(check, checkDelay);
}

async function check() {
  clearTimeout(timer);
  const mine = ++sequence;
  const text = documentText();
  try {
    const answer = await fetch("../v1/check", { method: "POST", body: text });
    const body = await answer.json();
    if (mine !== sequence) return;
    if (!answer.ok) throw new Error(body.error);
    if (String(body.generation) !== currentGeneration) await load();
    if (mine !== sequence) return;
    const state = JSON.stringify([body, currentGeneration]);
    if (state !== shown) show(body, text);
    shown = state;
  } catch (error) {
    if (mine !== sequence) return;
    checked = null;
    shown = "";
    $("download").disabled = true;
    $("state").textContent = "The document could not be checked: " + error.message;
  }
  timer = setTimeout(check, checkInterval);
}

// places returns the place of each path: where its problem is shown and what
// gets the focus.
function places() {
  const res = new Map();
  for (const p of generalParts) res.set(p.field.key, p);
  for (const s of sections) {
    res.set(s.key, { problem: s.problem, input: s.add, details: s.details });
    rows[s.key].forEach((r, i) => {
      res.set(`${s.key}[${i}]`, { problem: r.problem, input: r.parts[0].input, details: s.details, row: true });
      for (const p of r.parts) res.set(`${s.key}[${i}].${p.field.key}`, { ...p, details: s.details });
    });
  }
  return res;
}

function show(body, text) {
  const problems = [...body.problems];
  const generation = read(generalParts[0]);
  if (/^\d+$/.test(generation) && BigInt(generation) <= BigInt(currentGeneration)) {
    problems.push({ path: "generation", message: `must be above generation ${currentGeneration} in force` });
  }
  const all = places();
  for (const p of all.values()) {
    p.problem.textContent = "";
    if (p.field) p.input.removeAttribute("aria-invalid");
  }
  $("problems").replaceChildren(...problems.map(({ path, message }) => {
    const element = /^(.*)\[(\d+)\]$/.exec(path);
    let place = all.get(path);
    let line = message;
    if (!place && element) {
      place = all.get(element[1]);
      line = `item ${Number(element[2]) + 1}: ${message}`;
    }
    const full = path ? `${path}: ${message}` : message;
    if (!place) return make("li", { textContent: full });
    place.problem.textContent += (place.problem.textContent ? "\n" : "") + line;
    if (place.field) place.input.setAttribute("aria-invalid", "true");
    const link = make("button", { type: "button", className: "link", textContent: full });
    link.addEventListener("click", () => {
      if (place.details) place.details.open = true;
      place.input.focus();
    });
    return make("li", {}, link);
  }));
  const omitted = body.omitted > 0 ? ` ${body.omitted} more are not listed.` : "";
  const changes = body.operations.map(words);
  $("changes").replaceChildren(...changes.map((c) => make("li", { textContent: c })));
  if (problems.length > 0) {
    $("state").textContent = `${problems.length} ${problems.length === 1 ? "problem" : "problems"}.` + omitted;
  } else {
    $("state").textContent = (changes.length === 0 ? "Valid, without changes." : `Valid, ${changes.length} ${changes.length === 1 ? "change" : "changes"}.`) + omitted;
  }
  checked = problems.length === 0 ? text : null;
  $("download").disabled = checked === null;
  $("changed").hidden = currentGeneration === origin;
  if (currentGeneration !== origin) {
    $("changed-text").textContent = `Generation ${currentGeneration} came into force while you worked from generation ${origin}. ` +
      "Your document would undo what changed in between; the list of changes shows it.";
  }
}

// words describes an operation against the document in force.
function words(o) {
  if (o.section === "policy") return `policy: ${current.policy ?? "none"} becomes ${o.name}`;
  const section = sections.find((s) => s.key === o.section);
  const what = `${section.one} ${o.name}`;
  if (o.action === "delete") return `${what}: removed`;
  const before = (current[o.section] ?? []).find((item) => item.name === o.name);
  if (!before) return `${what}: added`;
  const after = o[section.one.split(" ").pop()] ?? {};
  const value = (v) => (v === undefined ? "none" : Array.isArray(v) ? v.join(", ") : String(v));
  const parts = section.fields.filter((f) => JSON.stringify(before[f.key]) !== JSON.stringify(after[f.key]))
    .map((f) => `${f.key} from ${value(before[f.key])} to ${value(after[f.key])}`);
  return `${what}: ${parts.join("; ")}`;
}

// load fetches the document in force; 503 means that there is none yet.
async function load() {
  const answer = await fetch("../v1/document");
  const body = await answer.json();
  if (answer.status === 503) {
    current = {};
    currentGeneration = "0";
    return;
  }
  if (!answer.ok) throw new Error(body.error);
  current = body;
  currentGeneration = answer.headers.get("Generation");
}

async function start() {
  try {
    await load();
    fill(current, currentGeneration);
  } catch (error) {
    $("origin").textContent = "The document in force could not be loaded: " + error.message;
  }
}

$("form").addEventListener("input", edited);
$("form").addEventListener("submit", (event) => event.preventDefault());
$("restart").addEventListener("click", start);
$("download").addEventListener("click", () => {
  if (checked === null) return;
  const url = URL.createObjectURL(new Blob([checked], { type: "application/json" }));
  make("a", { href: url, download: `document-${read(generalParts[0])}.json` }).click();
  // Some browsers read the data only after the click has been handled.
  setTimeout(() => URL.revokeObjectURL(url), 60000);
});
start();
