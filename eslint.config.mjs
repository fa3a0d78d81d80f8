import tseslint from "typescript-eslint";

export default tseslint.config(
    { ignores: ["**/dist/**", "**/*_pb.ts", "**/node_modules/**"] },
    ...tseslint.configs.strict,
    {
        rules: {
            "eqeqeq": "error",
            "no-var": "error",
            "prefer-const": "error",
            "@typescript-eslint/no-extraneous-class": "off",
            "@typescript-eslint/no-unused-vars": ["error", { argsIgnorePattern: "^_", varsIgnorePattern: "^_$" }],
            "no-restricted-syntax": ["error", {
                selector: "Literal[raw='null']",
                message: "Use undefined instead of null.",
            }, {
                selector: "TSInterfaceDeclaration[id.name=/^I[A-Z]/]",
                message: "Do not prefix interface names with I.",
            }],
        },
    },
    {
        // Tests access elements of data that they have built, which are known to exist.
        files: ["**/__tests__/**"],
        rules: { "@typescript-eslint/no-non-null-assertion": "off" },
    },
);
