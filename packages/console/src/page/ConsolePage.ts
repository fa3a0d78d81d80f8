/// <reference lib="dom" />
/// <reference lib="dom.iterable" />

// Runs in the browser. It has only type imports, so it needs no bundler.
import type { DocumentAction } from "../DocumentActions.js";
import type { DraftReview } from "../DraftReview.js";

interface Schema {
    readonly type?: string;
    readonly description?: string;
    readonly default?: unknown;
    readonly enum?: readonly string[];
    readonly properties?: Readonly<Record<string, Schema>>;
    readonly required?: readonly string[];
    readonly items?: Schema;
}

type Values = Record<string, unknown>;

interface PageState {
    schema: Schema;
    /** The document as loaded, which the draft is compared with. */
    loaded: Values | undefined;
    draft: Values;
}

const state: PageState = { schema: {}, loaded: undefined, draft: {} };

const byId = <T extends HTMLElement>(id: string): T => document.getElementById(id) as T;

function createElement<K extends keyof HTMLElementTagNameMap>(
    tag: K,
    attributes: Readonly<Record<string, string>> = {},
    ...children: readonly (Node | string)[]
): HTMLElementTagNameMap[K] {
    const node = document.createElement(tag);
    Object.entries(attributes).forEach(([name, value]) => node.setAttribute(name, value));
    node.append(...children);
    return node;
}

function createButton(text: string, onClick: () => void): HTMLButtonElement {
    const node = createElement("button", { type: "button" }, text);
    node.addEventListener("click", onClick);
    return node;
}

function showStatus(message: string): void {
    byId("status").textContent = message;
}

async function callConsole<T>(method: string, path: string, body?: unknown): Promise<T | undefined> {
    const response = await fetch(path, {
        method,
        ...(body === undefined ? {} : { body: JSON.stringify(body) }),
    });
    const value = await response.json() as T & { message?: string; };
    if (!response.ok) {
        showStatus(value.message ?? `Request failed with status ${response.status}`);
        return undefined;
    }
    return value;
}

function emptyValue(schema: Schema): unknown {
    if (schema.default !== undefined) {
        return structuredClone(schema.default);
    }
    switch (schema.type) {
        case "object":
            return Object.fromEntries(
                Object.entries(schema.properties ?? {})
                    .filter(([name]) => schema.required?.includes(name))
                    .map(([name, property]) => [name, emptyValue(property)]),
            );
        case "array":
            return [];
        case "boolean":
            return false;
        case "string":
            return schema.enum?.[0] ?? "";
        default:
            return undefined;
    }
}

function renderField(schema: Schema, parent: Values, name: string, path: string): HTMLElement {
    if (schema.type === "object") {
        parent[name] ??= emptyValue(schema);
        return renderObject(schema, parent[name] as Values, path, name);
    }
    if (schema.type === "array" && schema.items?.type === "object") {
        parent[name] ??= [];
        return renderList(schema.items, parent[name] as Values[], path, name);
    }
    return renderInput(schema, parent, name, path);
}

function renderObject(schema: Schema, value: Values, path: string, title: string): HTMLElement {
    return createElement(
        "fieldset",
        { "class": "item", "data-path": path },
        createElement("legend", {}, title),
        ...Object.entries(schema.properties ?? {})
            .map(([name, property]) => renderField(property, value, name, path === "" ? name : `${path}.${name}`)),
    );
}

function renderList(itemSchema: Schema, items: Values[], path: string, title: string): HTMLElement {
    const rows = items.map((item, index) => {
        const row = renderObject(itemSchema, item, `${path}[${index}]`, `${title} ${String(item["id"] ?? index + 1)}`);
        row.append(createElement(
            "div",
            { "class": "buttons" },
            createButton(`Remove ${String(item["id"] ?? "")}`, () => {
                items.splice(index, 1);
                renderPage();
            }),
        ));
        return row;
    });
    return createElement(
        "fieldset",
        { "data-path": path },
        createElement("legend", {}, title),
        ...rows,
        createButton(`Add to ${title}`, () => {
            items.push(newItem(itemSchema, path));
            renderPage();
        }),
    );
}

function newItem(schema: Schema, path: string): Values {
    const item = emptyValue(schema) as Values;
    // A joining VM may use its resources only after their previous owners have confirmed the version in `joinedVersion`.
    return path === "vms" ? { ...item, joinedVersion: state.draft["version"] } : item;
}

function renderInput(schema: Schema, parent: Values, name: string, path: string): HTMLElement {
    const id = `field-${path}`;
    const input = createInput(schema, parent[name]);
    input.id = id;
    input.dataset["path"] = path;
    input.setAttribute("aria-describedby", `${id}-hint`);
    input.addEventListener("change", () => {
        parent[name] = readInput(schema, input);
        void reviewDraft();
    });
    const defaultHint = schema.default === undefined ? "" : ` Default: ${JSON.stringify(schema.default)}.`;
    return createElement(
        "div",
        {},
        createElement("label", { "for": id }, name),
        input,
        createElement("span", { "class": "hint", "id": `${id}-hint` }, `${schema.description ?? ""}${defaultHint}`),
    );
}

function createInput(schema: Schema, value: unknown): HTMLInputElement | HTMLSelectElement {
    if (schema.enum) {
        const options = schema.enum.map(option =>
            createElement(
                "option",
                option === (value ?? schema.default) ? { value: option, selected: "" } : { value: option },
                option,
            )
        );
        return createElement("select", {}, ...options);
    }
    if (schema.type === "boolean") {
        return createElement("input", { type: "checkbox", ...(value === true ? { checked: "" } : {}) });
    }
    const isNumeric = schema.type === "integer" || schema.type === "number";
    const text = Array.isArray(value) ? value.join(", ") : String(value ?? "");
    return createElement("input", { type: isNumeric ? "number" : "text", step: "any", value: text });
}

function readInput(schema: Schema, input: HTMLInputElement | HTMLSelectElement): unknown {
    if (schema.type === "boolean") {
        return (input as HTMLInputElement).checked;
    }
    const text = input.value.trim();
    if (text === "") {
        return undefined;
    }
    if (schema.type === "array") {
        return text.split(",").map(part => part.trim()).filter(part => part !== "");
    }
    return schema.type === "integer" || schema.type === "number" ? Number(text) : text;
}

function renderActions(): void {
    const zones = (state.draft["zones"] ?? []) as Values[];
    const vms = (state.draft["vms"] ?? []) as Values[];
    byId("actions").replaceChildren(
        createElement("h3", {}, "Availability zones"),
        ...zones.map(zone =>
            renderStateToggle("availability zone", zone, to => ({
                kind: "set-zone-state",
                zone: String(zone["id"]),
                state: to,
            }))
        ),
        createElement("h3", {}, "VMs"),
        ...vms.filter(vm => vm["state"] !== "retired").map(vm =>
            renderStateToggle("VM", vm, to => ({
                kind: "set-vm-state",
                vm: String(vm["id"]),
                state: to,
            }))
        ),
        createElement("h3", {}, "Keys"),
        renderKeyActions(),
    );
}

function renderStateToggle(
    itemKind: string,
    item: Values,
    actionFor: (to: "in-service" | "out") => DocumentAction,
): HTMLElement {
    const current = String(item["state"] ?? "in-service");
    const [verb, to] = current === "in-service" ? ["Take out", "out" as const] : ["Return", "in-service" as const];
    return createElement(
        "div",
        {},
        createButton(`${verb} ${itemKind} ${String(item["id"])}`, () => void applyAction(actionFor(to))),
        ` now ${current}`,
    );
}

function renderKeyActions(): HTMLElement {
    const customers = (state.draft["customers"] ?? []) as Values[];
    const keyItems = (state.draft["keys"] ?? []) as Values[];
    const customer = createElement(
        "select",
        { id: "new-key-customer" },
        ...customers.map(item => createElement("option", {}, String(item["id"]))),
    );
    const keyId = createElement("input", { id: "new-key-id", type: "text" });
    return createElement(
        "div",
        {},
        createElement("label", { "for": "new-key-customer" }, "Customer of the new key"),
        customer,
        createElement("label", { "for": "new-key-id" }, "Id of the new key"),
        keyId,
        createButton("Issue key", () => void issueKey(customer.value, keyId.value)),
        ...keyItems.map(key =>
            createButton(`Withdraw key ${String(key["id"])}`, () =>
                void applyAction({
                    kind: "withdraw-key",
                    id: String(key["id"]),
                }))
        ),
    );
}

async function applyAction(action: DocumentAction): Promise<void> {
    const result = await callConsole<{ draft: Values; }>("POST", "/api/action", { draft: state.draft, action });
    if (result) {
        await replaceDraft(result.draft);
    }
}

async function issueKey(customer: string, id: string): Promise<void> {
    const result = await callConsole<{ draft: Values; apiKey: string; }>("POST", "/api/issue-key", {
        draft: state.draft,
        customer,
        id,
    });
    if (result) {
        const notice = byId("key");
        notice.hidden = false;
        notice.textContent = `Key ${id}, shown only now: ${result.apiKey}`;
        await replaceDraft(result.draft);
    }
}

async function replaceDraft(draft: Values): Promise<void> {
    state.draft = draft;
    renderPage();
    await reviewDraft();
}

async function reviewDraft(): Promise<DraftReview | undefined> {
    const draftReview = await callConsole<DraftReview>("POST", "/api/review", {
        draft: state.draft,
        loaded: state.loaded,
    });
    if (!draftReview) {
        return undefined;
    }
    byId("errors").replaceChildren(
        ...draftReview.errors.map(error => createElement("li", {}, `${error.path || "document"}: ${error.message}`)),
    );
    byId("changes").replaceChildren(...draftReview.changes.map(change => createElement("li", {}, change)));
    markErrors(draftReview);
    showStatus(
        draftReview.errors.length > 0
            ? `Errors: ${draftReview.errors.length}`
            : `Changes: ${draftReview.changes.length}`,
    );
    return draftReview;
}

/** Shows each error at its field or, if the field has no input, at the nearest enclosing group. */
function markErrors(draftReview: DraftReview): void {
    document.querySelectorAll("[aria-invalid]").forEach(node => node.removeAttribute("aria-invalid"));
    document.querySelectorAll("#form .error").forEach(node => node.remove());
    draftReview.errors.forEach(error => {
        const target = findErrorTarget(error.path);
        target?.setAttribute("aria-invalid", "true");
        const message = createElement("div", { "class": "error" }, error.message);
        if (target instanceof HTMLFieldSetElement) {
            target.append(message);
        }
        else {
            target?.parentElement?.append(message);
        }
    });
}

function findErrorTarget(path: string): Element | undefined {
    const exact = document.querySelector(`[data-path="${CSS.escape(path)}"]`);
    if (exact || path === "") {
        return exact ?? undefined;
    }
    return findErrorTarget(path.replace(/(\[\d+\]|\.?[^.[\]]+)$/, ""));
}

function renderPage(): void {
    const focused = document.activeElement?.id;
    byId("form").replaceChildren(
        ...Object.entries(state.schema.properties ?? {})
            .map(([name, property]) => renderField(property, state.draft, name, name)),
    );
    renderActions();
    if (focused) {
        document.getElementById(focused)?.focus();
    }
}

async function replaceLoaded(loaded: Values): Promise<void> {
    state.loaded = loaded;
    await replaceDraft({ ...structuredClone(loaded), version: Number(loaded["version"] ?? 0) + 1 });
}

async function submitDraft(): Promise<void> {
    const result = await callConsole<unknown>("POST", "/api/submit", { draft: state.draft, loaded: state.loaded });
    if (result) {
        await replaceLoaded(state.draft);
        showStatus("Submitted");
    }
}

async function downloadDraft(): Promise<void> {
    const draftReview = await reviewDraft();
    if (draftReview?.text === undefined) {
        return;
    }
    const url = URL.createObjectURL(new Blob([draftReview.text], { type: "application/json" }));
    createElement("a", { href: url, download: `document-${String(state.draft["version"])}.json` }).click();
    URL.revokeObjectURL(url);
}

async function loadFromPlatform(): Promise<void> {
    const loaded = await callConsole<Values>("GET", "/api/document");
    if (loaded) {
        await replaceLoaded(loaded);
    }
}

async function start(): Promise<void> {
    state.schema = await callConsole<Schema>("GET", "/api/schema") ?? {};
    state.draft = emptyValue(state.schema) as Values;
    state.draft["version"] = 1;
    renderPage();
    byId("load").addEventListener("click", () => void loadFromPlatform());
    byId("review").addEventListener("click", () => void reviewDraft());
    byId("download").addEventListener("click", () => void downloadDraft());
    byId("submit").addEventListener("click", () => void submitDraft());
    byId<HTMLInputElement>("open").addEventListener("change", event => {
        const file = (event.target as HTMLInputElement).files?.[0];
        void file?.text()
            .then(text => replaceLoaded(JSON.parse(text) as Values))
            .catch((error: unknown) => showStatus(`The file is not a document: ${String(error)}`));
    });
    await loadFromPlatform();
}

void start();
